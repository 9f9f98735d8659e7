package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.JobSpec;
import gladeknot.standin.RandomEligibility;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a forecast that counts on machines that placement refuses: {@code
 * gladeknot.scheduling.NodeFilterTest} compares placement with the same predicate.
 */
class EligibilityTest {
  private static final int CASES = 5_000;

  @Test
  void forecastAndCapacityAgreeWithTheTypesPredicate() {
    int eligible = 0;
    RandomEligibility random = new RandomEligibility(1);
    for (int i = 0; i < CASES; i++) {
      MachineType type = random.any(random.types());
      JobSpec job = random.job();
      String zone = random.any(type.zones());
      boolean spot = random.spot();
      boolean mayRun = type.mayRun(job) && job.allowsMachine(type.name(), zone, spot);
      MachineTimeline machine = new MachineTimeline(type, zone, spot, 0, 0, List.of());
      assertEquals(mayRun, machine.earliestStartMicros(job) < Forecast.NEVER_MICROS);
      assertEquals(mayRun, machine.fittingTasks(job, 0) > 0);
      eligible += mayRun ? 1 : 0;
    }
    assertEquals(true, eligible > CASES / 20 && eligible < CASES, eligible + " eligible");
  }

  /** A job that is not refused as unsatisfiable can run on a machine of some offered type. */
  @Test
  void jobThatFitsSomeTypeMayRunSomewhere() {
    RandomEligibility random = new RandomEligibility(2);
    for (int i = 0; i < CASES; i++) {
      InstanceCatalog catalog = new InstanceCatalog();
      catalog.update(random.types(), 0);
      JobSpec job = random.job();
      boolean offered =
          catalog.offerings().stream()
              .filter(offering -> job.allowsZone(offering.zone(), Map.of()))
              .anyMatch(
                  offering ->
                      offering.type().mayRun(job)
                          && job.allowsMachine(offering.type().name(), offering.zone(), false));
      assertEquals(catalog.fitsSomeType(job), offered, job.toString());
    }
  }
}
