package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.json.ResourceUnits;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestMachineTypes;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ForecastTest {
  private static final long CPU = ResourceUnits.PER_WHOLE;
  private static final long GB = ResourceUnits.PER_WHOLE;
  private static final MachineType TYPE =
      TestMachineTypes.inThousandths(
          "small", 2000, 0, 16_000, 40, 0.5, 0.2, 0.1, 10_000_000, List.of("a"));

  private static JobSpec spec(String shape) throws MalformedJobException {
    return JobSpecCodec.decode(TestJobs.job("req-1", shape, 4));
  }

  @Test
  void tasksStartWhenRunningTasksFreeResources() throws MalformedJobException {
    Forecast forecast = new Forecast();
    JobSpec spec = spec("array");
    MachineTimeline machine = new MachineTimeline(TYPE, "a", true, 0, 0, List.of("img"));
    forecast.add(machine);
    forecast.addRunning(
        new Forecast.RunningTask(JobSpec.Priority.NORMAL, machine, 0, 5_000_000, CPU, 0, GB));
    forecast.admit(JobSpec.Priority.NORMAL);
    long[] expectedRunningMicros = {0, 5_000_000, 6_000_000, 11_000_000};
    for (long runningMicros : expectedRunningMicros) {
      assertEquals(
          runningMicros,
          forecast.place(
              forecast.search(spec, Forecast.ANY_SHARD).earliest(Map.of()), spec, 6_000_000));
    }
  }

  @Test
  void placingTasksTogetherEqualsPlacingThemOneByOne() throws MalformedJobException {
    JobSpec spec = spec("array");
    long[] endMicros = new long[2];
    for (int variant = 0; variant < 2; variant++) {
      Forecast forecast = new Forecast();
      MachineTimeline machine = new MachineTimeline(TYPE, "a", true, 0, 0, List.of("img"));
      forecast.add(machine);
      assertEquals(2, machine.fittingTasks(spec, 0));
      for (int i = 0; i < 2; i += variant == 0 ? 1 : 2) {
        forecast.place(machine, spec, 0, 6_000_000, variant == 0 ? 1 : 2);
      }
      assertEquals(0, machine.fittingTasks(spec, 0));
      endMicros[variant] = machine.earliestStartMicros(spec);
    }
    assertEquals(6_000_000, endMicros[0]);
    assertEquals(endMicros[0], endMicros[1]);
  }

  @Test
  void preemptibleTasksDoNotDelayPendingTasks() throws MalformedJobException {
    Forecast forecast = new Forecast();
    JobSpec serviceSpec = spec("service");
    MachineTimeline machine = new MachineTimeline(TYPE, "a", false, 0, 0, List.of("img"));
    forecast.add(machine);
    forecast.addRunning(
        new Forecast.RunningTask(
            JobSpec.Priority.NORMAL, machine, 0, 50_000_000, 2 * CPU, 0, 2 * GB));
    forecast.admit(JobSpec.Priority.PROD);
    assertEquals(0, machine.earliestStartMicros(serviceSpec));
    forecast.admit(JobSpec.Priority.NORMAL);
    assertEquals(50_000_000, machine.earliestStartMicros(serviceSpec));
  }

  @Test
  void spreadReplicasNeedAnotherZone() throws MalformedJobException {
    Forecast forecast = new Forecast();
    forecast.add(new MachineTimeline(TYPE, "a", false, 0, 0, List.of()));
    // Two of the four replicas are in zone a, which is the maximum per zone.
    assertNull(forecast.search(spec("service"), Forecast.ANY_SHARD).earliest(Map.of("a", 2)));
  }
}
