package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WriteRateTest {
  private static final long SECOND = 1_000_000;

  @Test
  void goesDownToAnEvenPartAndComesBack() {
    WriteRate rate = new WriteRate(0.2, 0.4);
    assertEquals(0.4, rate.share(SECOND), 1e-9);
    rate.refused(SECOND);
    rate.refused(SECOND + 1);
    assertEquals(0.3, rate.share(SECOND + 1), 1e-4);
    for (long now = 2 * SECOND; now < 5 * SECOND; now += SECOND) {
      rate.refused(now);
    }
    assertTrue(rate.share(5 * SECOND) >= 0.2 && rate.share(5 * SECOND) < 0.25);
    assertEquals(0.4, rate.share(60 * SECOND), 1e-9);
  }
}
