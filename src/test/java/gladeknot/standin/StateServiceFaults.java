package gladeknot.standin;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Faults of the fake state service on loopback, by the controller that asks. */
public final class StateServiceFaults {
  private static final long MIN_LATE_MILLIS = 2_000;
  private static final long MAX_LATE_MILLIS = 8_000;

  /** What becomes of a transaction. */
  enum Fate {
    ANSWERED,
    CARRIED_OUT_UNANSWERED,
    CARRIED_OUT_LATE,
    THROTTLED
  }

  private static final long MIN_SLOW_MILLIS = 40;
  private static final long MAX_SLOW_MILLIS = 300;
  private static final double THROTTLED_SHARE = 0.15;

  private final Set<Integer> refused = ConcurrentHashMap.newKeySet();
  private final Map<Integer, Long> watchDelays = new ConcurrentHashMap<>();
  private volatile boolean slow;
  private volatile boolean outage;
  private volatile double unansweredShare;
  private volatile double lateShare;

  /** The service refuses everybody from now on, or serves again. */
  public void outage(boolean on) {
    outage = on;
  }

  /** The service refuses one controller from now on, or serves it again. */
  public void refuse(int node, boolean on) {
    if (on) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
  }

  /** That share of transactions is carried out at once and not answered. */
  public void unansweredShare(double share) {
    unansweredShare = share;
  }

  /** That share of transactions is not answered and carried out seconds later. */
  public void lateShare(double share) {
    lateShare = share;
  }

  /** All calls take longer, and a share of the transactions is refused with 429. */
  public void slow(boolean on) {
    slow = on;
  }

  /** Answers to a controller's watches come so much later; all its other calls pass. */
  public void delayWatch(int node, long millis) {
    watchDelays.put(node, millis);
  }

  /** Ends all faults. */
  public void clear() {
    slow = false;
    watchDelays.clear();
    refused.clear();
    outage = false;
    unansweredShare = 0;
    lateShare = 0;
  }

  boolean hasOutage() {
    return outage;
  }

  boolean refuses(int node) {
    return outage || refused.contains(node);
  }

  Fate fateOfTransaction() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (slow && random.nextDouble() < THROTTLED_SHARE) {
      return Fate.THROTTLED;
    }
    double drawn = random.nextDouble();
    if (drawn < unansweredShare) {
      return Fate.CARRIED_OUT_UNANSWERED;
    }
    return drawn < unansweredShare + lateShare ? Fate.CARRIED_OUT_LATE : Fate.ANSWERED;
  }

  long slowMillis() {
    return slow ? ThreadLocalRandom.current().nextLong(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS) : 0;
  }

  long watchDelayMillis(int node) {
    return watchDelays.getOrDefault(node, 0L);
  }

  long lateMillis() {
    return ThreadLocalRandom.current().nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
  }
}
