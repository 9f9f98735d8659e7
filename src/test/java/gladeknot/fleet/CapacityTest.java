package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestMachineTypes;
import gladeknot.workers.MachineType;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how expected tasks are packed, and that the cost per task doesn't grow with the fleet. */
class CapacityTest {
  private static final MachineType TYPE =
      TestMachineTypes.inThousandths(
          "small", 4000, 0, 16_000, 40, 0.5, 0.2, 0.1, 10_000_000, List.of("a", "b"));

  private static JobSpec spec(String shape, int tasks) throws MalformedJobException {
    return JobSpecCodec.decode(TestJobs.job("req-1", shape, tasks));
  }

  private static Capacity capacityOf(int machines) {
    Capacity capacity = new Capacity();
    for (int i = 0; i < machines; i++) {
      String zone = i % 3 == 0 ? "b" : "a";
      capacity.add(MachineBin.ofWorker(String.format("vm-%06d", i), TYPE, zone, false, 0));
    }
    capacity.sort();
    return capacity;
  }

  @Test
  void replicasAreSplitEvenlyOverZonesAndFillFirstMachines() throws MalformedJobException {
    Capacity capacity = capacityOf(4);
    Map<String, Integer> tasksByZone = new HashMap<>();
    assertEquals(6, capacity.place(spec("service", 6), 6, tasksByZone));
    assertEquals(Map.of("a", 3, "b", 3), tasksByZone);
    // The first machine of each zone holds its replicas. Zone a's machines are second and third.
    assertEquals(
        List.of(true, true, false, false), capacity.bins().stream().map(MachineBin::used).toList());
    assertEquals(10, capacity.place(spec("array", 20), 20, new HashMap<>()));
  }

  @Test
  void machinesWithReplicasAreFilledFirst() throws MalformedJobException {
    Capacity capacity = new Capacity();
    capacity.add(MachineBin.ofWorker("vm-000001", TYPE, "a", false, 0));
    capacity.add(MachineBin.ofWorker("vm-000002", TYPE, "a", false, 1));
    capacity.add(MachineBin.ofWorker("vm-000003", TYPE, "a", false, 2));
    capacity.sort();
    capacity.place(spec("array", 1), 1, new HashMap<>());
    List<String> used =
        capacity.bins().stream().filter(MachineBin::used).map(MachineBin::host).toList();
    assertEquals(List.of("vm-000003"), used);
  }

  @Test
  void evaluationsPerTaskDoNotGrowWithFleetSize() throws MalformedJobException {
    double small = evaluationsPerTask(100);
    double large = evaluationsPerTask(1000);
    assertTrue(large <= small * 1.1, small + " then " + large);
    assertTrue(large < 4, large + " evaluations for each task");
  }

  private static double evaluationsPerTask(int machines) throws MalformedJobException {
    Capacity capacity = capacityOf(machines);
    Forecast forecast = new Forecast();
    for (MachineBin bin : capacity.bins()) {
      forecast.add(new MachineTimeline(TYPE, bin.zone(), false, 0, 0, List.of()));
    }
    JobSpec serviceSpec = spec("service", 4);
    int tasks = machines * 2;
    for (int i = 0; i < tasks; i += 4) {
      Map<String, Integer> tasksByZone = new HashMap<>();
      capacity.place(serviceSpec, 4, tasksByZone);
      Map<String, Integer> forecastTasksByZone = new HashMap<>();
      for (int task = 0; task < 4; task++) {
        MachineTimeline machine =
            forecast.search(serviceSpec, Forecast.ANY_SHARD).earliest(forecastTasksByZone);
        forecast.place(machine, serviceSpec, Forecast.NEVER_MICROS);
        forecastTasksByZone.merge(machine.zone(), 1, Integer::sum);
      }
    }
    return (capacity.evaluations() + forecast.evaluations()) / (double) tasks / 2;
  }
}
