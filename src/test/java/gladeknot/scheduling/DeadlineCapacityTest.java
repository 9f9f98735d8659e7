package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestMachineTypes;
import gladeknot.state.Entry;
import gladeknot.workers.MachineType;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRecordCodec;
import gladeknot.workers.WorkerRegistry;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that task slots for jobs with deadlines are counted by the resources that a job requires.
 */
class DeadlineCapacityTest {
  private static final long NOW_MICROS = 5_000_000;
  private static final long READY_MICROS = 40_000_000;

  /** The fleet has two machines of 16 CPUs and 2 GPUs, and three of 4 CPUs. */
  @ParameterizedTest
  @CsvSource({"6.0, 1.0, 4", "6.0, 2.0, 2", "2.0, 0.0, 6", "4.0, 0.0, 3"})
  void slotsAreCountedByRequiredResources(double cpus, double gpus, int slots)
      throws MalformedJobException {
    WorkerRegistry workers = new WorkerRegistry();
    register(workers, 1, "accelerated");
    register(workers, 2, "accelerated");
    register(workers, 3, "plain");
    register(workers, 4, "plain");
    register(workers, 5, "plain");
    DeadlineCapacity capacity =
        new DeadlineCapacity(
            new JobRegistry((before, now) -> {}), workers, DeadlineCapacityTest::type);
    Map<String, Object> job = TestJobs.job("req-1", "array", 8);
    job.put("cores", cpus);
    job.put("accelerators", gpus);
    assertEquals(slots, capacity.taskSlots(JobSpecCodec.decode(job), NOW_MICROS, NOW_MICROS));
  }

  private static void register(WorkerRegistry workers, int number, String type) {
    String host = "vm-00000" + number;
    String record =
        WorkerRecordCodec.encode(new WorkerRecord(0, type, "a", false, NOW_MICROS, false));
    Map<String, Object> data = Map.of(WorkerRecordCodec.field(host), record);
    workers.onChange(WorkerRecordCodec.key(host), null, new Entry(data, number));
  }

  private static MachineType type(String name) {
    boolean accelerated = name.equals("accelerated");
    return TestMachineTypes.inThousandths(
        name,
        accelerated ? 16_000 : 4_000,
        accelerated ? 2_000 : 0,
        96_000,
        60,
        0.4,
        5,
        2,
        READY_MICROS,
        List.of("a"));
  }
}
