package gladeknot.standin;

import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.json.ResourceUnits;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Random jobs and machine types, for tests of which jobs may run on which machines. */
public final class RandomEligibility {
  private static final List<String> SHAPES = List.of("array", "ensemble", "service");
  private static final List<String> ZONES = List.of("a", "b");
  private static final long UNITS = ResourceUnits.PER_WHOLE;

  private final SplittableRandom random;

  public RandomEligibility(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the types of a cloud, of which some, all or none have GPUs. */
  public List<MachineType> types() {
    List<MachineType> types = new ArrayList<>();
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      long cpus = UNITS * (1 + random.nextInt(8));
      long gpus = UNITS * random.nextInt(3);
      long memory = UNITS * (1 + random.nextInt(16));
      List<String> zones = random.nextBoolean() ? ZONES : ZONES.subList(0, 1);
      types.add(new MachineType("t" + i, cpus, gpus, memory, 40, 0.5, 0.2, 0.1, 1, zones));
    }
    List<MachineType> withoutGpus = types.stream().filter(type -> type.gpus() == 0).toList();
    return types.stream().map(type -> type.beside(withoutGpus)).toList();
  }

  /** Returns a job that may or may not fit the types. */
  public JobSpec job() {
    Map<String, Object> job = TestJobs.job("req-x", SHAPES.get(random.nextInt(3)), 2);
    job.put("cores", 1.0 + random.nextInt(6));
    job.put("memoryGb", 1.0 + random.nextInt(12));
    job.put("accelerators", random.nextBoolean() ? 0.0 : 1.0 + random.nextInt(2));
    job.put("glade", random.nextInt(3) == 0 ? ZONES.get(random.nextInt(2)) : null);
    job.put("hosttypes", random.nextInt(3) == 0 ? List.of("t" + random.nextInt(4)) : null);
    job.put("loaners", random.nextBoolean());
    job.put("scatter", false);
    job.put("together", false);
    try {
      return JobSpecCodec.decode(job);
    } catch (MalformedJobException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns one of the values. */
  public <T> T any(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  /** Returns whether an instance is a spot instance. */
  public boolean spot() {
    return random.nextBoolean();
  }
}
