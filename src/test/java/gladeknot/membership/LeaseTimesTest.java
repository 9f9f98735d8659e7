package gladeknot.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.Settings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the leases together stay below the cancellation time, for several deployments and also
 * if the wanted state lease is too long.
 */
class LeaseTimesTest {
  private static final double TWO_CLOCK_DRIFT_FACTOR = 1.001;

  @ParameterizedTest
  @CsvSource({
    // In seconds: report interval, worker lease, cancellation time, wanted and resulting state
    // lease.
    "2, 14, 39, 20, 20",
    "1.5, 14, 39, 60, 22",
    "4, 22, 47, 19.125, 19.125",
    "4, 22, 47, 60, 22",
    "1, 8, 25, 600, 14",
    "2, 14, 18, 60, 1",
  })
  void leasesStayBelowCancellationTime(
      double reportSeconds,
      double leaseSeconds,
      double cancelSeconds,
      double wantedSeconds,
      double expectedSeconds) {
    Settings.Workers workers =
        new Settings.Workers(
            micros(reportSeconds),
            micros(leaseSeconds),
            micros(30),
            micros(6),
            micros(cancelSeconds));
    LeaseTimes times = LeaseTimes.of(workers, micros(wantedSeconds));
    assertEquals(micros(expectedSeconds), times.stateLeaseMicros());
    assertTrue(times.longestAfterCancelMicros() < micros(cancelSeconds) - 2_500_000);
    // The controller answers a worker at the last moment that the controller's clock allows. The
    // worker, whose clock is slow, then still keeps its tasks for less than the cancellation time.
    long mayActUntilMicros = times.mayActUntilMicros(1_000_000, 0);
    assertTrue(mayActUntilMicros * TWO_CLOCK_DRIFT_FACTOR < times.stateLeaseMicros());
    assertEquals(mayActUntilMicros, times.mayActUntilMicros(0, 1_000_000));
    assertTrue(
        (mayActUntilMicros + micros(leaseSeconds)) * TWO_CLOCK_DRIFT_FACTOR
            < micros(cancelSeconds));
    // No lease counts as expired while its holder may still use it, and neither does a delegation.
    assertTrue(times.expiredAfterMicros() > micros(leaseSeconds) * TWO_CLOCK_DRIFT_FACTOR);
    assertTrue(
        times.delegationExpiredAtMicros(0)
            > times.delegateMayActUntilMicros(0) * TWO_CLOCK_DRIFT_FACTOR);
  }

  private static long micros(double seconds) {
    return Math.round(seconds * 1e6);
  }
}
