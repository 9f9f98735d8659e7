package gladeknot.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.Settings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The sum of leases, for several deployments and for wishes that are too long. */
class LeaseTimesTest {
  private static final double TWO_DRIFTING_CLOCKS = 1.001;

  @ParameterizedTest
  @CsvSource({
    // report, lease, cancel, wanted state lease, the one that is taken
    "2, 14, 39, 20, 20",
    "1.5, 14, 39, 60, 22",
    "4, 22, 47, 19.125, 19.125",
    "4, 22, 47, 60, 22",
    "1, 8, 25, 600, 14",
    "2, 14, 18, 60, 1",
  })
  void theSumStaysBelowTheTimeOfACancellation(
      double report, double lease, double cancel, double wanted, double taken) {
    Settings.Workers workers =
        new Settings.Workers(micros(report), micros(lease), micros(30), micros(6), micros(cancel));
    LeaseTimes times = LeaseTimes.of(workers, micros(wanted));
    assertEquals(micros(taken), times.stateLeaseMicros());
    assertTrue(times.longestAfterCancelMicros() < micros(cancel) - 2_500_000);
    // A worker that was answered at the last moment that its controller's clock allows keeps its
    // tasks, by its own slow clock, for less than the time of a cancellation.
    long answers = times.mayActUntilMicros(1_000_000, 0);
    assertTrue(answers * TWO_DRIFTING_CLOCKS < times.stateLeaseMicros());
    assertEquals(answers, times.mayActUntilMicros(0, 1_000_000));
    assertTrue((answers + micros(lease)) * TWO_DRIFTING_CLOCKS < micros(cancel));
    // Nobody takes a lease as lapsed before it has, nor a delegation as over while it is used.
    assertTrue(times.expiredAfterMicros() > micros(lease) * TWO_DRIFTING_CLOCKS);
    assertTrue(
        times.delegationExpiredAtMicros(0)
            > times.delegateMayActUntilMicros(0) * TWO_DRIFTING_CLOCKS);
  }

  private static long micros(double seconds) {
    return Math.round(seconds * 1e6);
  }
}
