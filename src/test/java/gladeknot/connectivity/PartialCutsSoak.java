package gladeknot.connectivity;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks the properties of {@link PartialCutsPropertiesTest} on many more schedules, with new seeds
 * in each run. It takes too long for CI, whose name pattern excludes it; run it with {@code mvn
 * test -Dtest=PartialCutsSoak}.
 */
class PartialCutsSoak {
  private static final int MAX_SEED = 1_000_000;

  @Provide
  Arbitrary<List<PartialCutsPropertiesTest.Step>> schedules() {
    return PartialCutsPropertiesTest.scheduleArbitrary();
  }

  @Provide
  Arbitrary<Integer> seeds() {
    return Arbitraries.integers().between(1, MAX_SEED);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.BOUNDED)
  void noScheduleViolatesInvariants(
      @ForAll("schedules") List<PartialCutsPropertiesTest.Step> schedule,
      @ForAll("seeds") int seed) {
    PartialCutsPropertiesTest.runSchedule(schedule, seed);
  }
}
