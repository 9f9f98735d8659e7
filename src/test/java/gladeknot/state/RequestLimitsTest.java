package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.Settings;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import org.junit.jupiter.api.Test;

class RequestLimitsTest {
  private static final Settings SETTINGS =
      ClusterSettings.of(0, 5, new ClusterScale(12, ClusterScale.TEAM_CPUS, 100, 15));

  /** Guards against transactions that can't be sent yet but use up the request rate of reads. */
  @Test
  void writesThatHaveToWaitTakeNoRequestTokens() {
    RequestLimits limits = limitsAfterOneWrite();
    for (int i = 0; i < 100; i++) {
      assertFalse(limits.tryAcquireWrites(1, 1));
    }
    assertEquals(readsAvailable(limitsAfterOneWrite()), readsAvailable(limits));
  }

  private static RequestLimits limitsAfterOneWrite() {
    RequestLimits limits = new RequestLimits(SETTINGS, new TransactionLimits(SETTINGS));
    assertTrue(limits.tryAcquireWrites(1, 0));
    return limits;
  }

  private static int readsAvailable(RequestLimits limits) {
    int reads = 0;
    while (limits.tryAcquireRead()) {
      reads++;
    }
    return reads;
  }
}
