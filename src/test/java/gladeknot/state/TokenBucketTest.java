package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
  @Test
  void grantsAtMostRateAndOneBurst() {
    TokenBucket tokens = new TokenBucket(10, 10);
    int taken = 0;
    for (long now = 0; now <= 5_000_000; now += 10_000) {
      while (tokens.tryAcquire(1, 0, now)) {
        taken++;
      }
    }
    // Because of rounding, the last token may come one step later.
    assertEquals(60, taken, 1);
  }

  @Test
  void reservedTokensStayForUrgentCalls() {
    TokenBucket tokens = new TokenBucket(10, 10);
    int taken = 0;
    while (tokens.tryAcquire(1, 4, 0)) {
      taken++;
    }
    assertEquals(6, taken);
    tokens.forceAcquire(1, 0);
    assertEquals(false, tokens.tryAcquire(4, 0, 0));
    assertEquals(true, tokens.tryAcquire(3, 0, 0));
  }
}
