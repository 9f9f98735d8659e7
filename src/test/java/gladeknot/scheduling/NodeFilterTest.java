package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.JobSpec;
import gladeknot.standin.RandomEligibility;
import gladeknot.state.Entry;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRecordCodec;
import gladeknot.workers.WorkerRegistry;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against placement that refuses machines on which the forecast counts. */
class NodeFilterTest {
  private static final int CASES = 5_000;

  @Test
  void placementAgreesWithTheTypesPredicate() {
    RandomEligibility random = new RandomEligibility(3);
    for (int i = 0; i < CASES; i++) {
      MachineType type = random.any(random.types());
      JobSpec job = random.job();
      String zone = random.any(type.zones());
      boolean spot = random.spot();
      boolean mayRun = type.mayRun(job) && job.allowsMachine(type.name(), zone, spot);
      CandidateMachine machine = CandidateMachine.of(worker(type, zone, spot), type);
      boolean placed =
          machine.capacityFor(job) > 0 && NodeFilter.accepts(job, machine, null, Map.of());
      assertEquals(mayRun, placed, job.toString());
    }
  }

  private static Worker worker(MachineType type, String zone, boolean spot) {
    String host = "vm-000001";
    String record =
        WorkerRecordCodec.encode(new WorkerRecord(0, type.name(), zone, spot, 0, false));
    WorkerRegistry workers = new WorkerRegistry();
    workers.onChange(
        WorkerRecordCodec.key(host),
        null,
        new Entry(Map.of(WorkerRecordCodec.field(host), record), 1));
    return workers.get(host);
  }
}
