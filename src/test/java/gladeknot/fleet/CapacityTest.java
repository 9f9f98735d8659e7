package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.standin.TestJobs;
import gladeknot.workers.MachineType;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Where tasks go in thought, and that a look at a fleet costs no more a task as it grows. */
class CapacityTest {
  private static final MachineType TYPE =
      new MachineType("small", 4000, 0, 16_000, 40, 0.5, 0.2, 0.1, 10_000_000, List.of("a", "b"));

  private static JobSpec spec(String shape, int tasks) throws MalformedJobException {
    return JobSpecCodec.decode(TestJobs.job("req-1", shape, tasks));
  }

  private static Capacity of(int machines) {
    Capacity capacity = new Capacity();
    for (int i = 0; i < machines; i++) {
      String zone = i % 3 == 0 ? "b" : "a";
      capacity.add(new Capacity.Box(String.format("vm-%06d", i), TYPE, zone, false, 0));
    }
    capacity.sort();
    return capacity;
  }

  @Test
  void replicasGoHalfToEachZoneAndOneByOneIntoTheFirstMachines() throws MalformedJobException {
    Capacity capacity = of(4);
    Map<String, Integer> inZone = new HashMap<>();
    assertEquals(6, capacity.put(spec("service", 6), 6, inZone));
    assertEquals(Map.of("a", 3, "b", 3), inZone);
    // Two machines of each zone hold all there is room for: zone a's are the second and third.
    assertEquals(
        List.of(true, true, false, false),
        capacity.boxes().stream().map(Capacity.Box::used).toList());
    assertEquals(10, capacity.put(spec("array", 20), 20, new HashMap<>()));
  }

  @Test
  void machinesThatReplicasKeepAreNeededBeforeOthers() throws MalformedJobException {
    Capacity capacity = new Capacity();
    capacity.add(new Capacity.Box("vm-000001", TYPE, "a", false, 0));
    capacity.add(new Capacity.Box("vm-000002", TYPE, "a", false, 1));
    capacity.add(new Capacity.Box("vm-000003", TYPE, "a", false, 2));
    capacity.sort();
    capacity.put(spec("array", 1), 1, new HashMap<>());
    List<String> used =
        capacity.boxes().stream().filter(Capacity.Box::used).map(box -> box.host).toList();
    assertEquals(List.of("vm-000003"), used);
  }

  @Test
  void looksForEachTaskDoNotGrowWithTheFleet() throws MalformedJobException {
    double small = looksForEachTask(100);
    double large = looksForEachTask(1000);
    assertTrue(large <= small * 1.1, small + " then " + large);
    assertTrue(large < 4, large + " looks for each task");
  }

  private static double looksForEachTask(int machines) throws MalformedJobException {
    Capacity capacity = of(machines);
    Forecast forecast = new Forecast();
    for (Capacity.Box box : capacity.boxes()) {
      forecast.add(new Forecast.Slot(TYPE, box.zone, false, 0, 0, List.of()));
    }
    JobSpec web = spec("service", 4);
    int tasks = machines * 2;
    for (int i = 0; i < tasks; i += 4) {
      Map<String, Integer> inZone = new HashMap<>();
      capacity.put(web, 4, inZone);
      Map<String, Integer> inForecast = new HashMap<>();
      for (int t = 0; t < 4; t++) {
        Forecast.Slot slot = forecast.search(web, -1).best(inForecast);
        forecast.put(slot, web, Forecast.NEVER);
        inForecast.merge(slot.zone, 1, Integer::sum);
      }
    }
    return (capacity.looks() + forecast.looks()) / (double) tasks / 2;
  }
}
