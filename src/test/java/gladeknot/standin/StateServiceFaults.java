package gladeknot.standin;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Faults of the fake state service on loopback; some affect the calls of one controller only. */
public final class StateServiceFaults {
  private static final long MIN_LATE_MILLIS = 2_000;
  private static final long MAX_LATE_MILLIS = 8_000;

  /** The state service's handling of a transaction. */
  enum TransactionHandling {
    ANSWERED,
    CARRIED_OUT_UNANSWERED,
    CARRIED_OUT_LATE,
    THROTTLED
  }

  private static final long MIN_SLOW_MILLIS = 40;
  private static final long MAX_SLOW_MILLIS = 300;
  private static final double THROTTLED_SHARE = 0.15;

  private final Set<Integer> refusedNodes = ConcurrentHashMap.newKeySet();
  private final Map<Integer, Long> watchDelaysMillis = new ConcurrentHashMap<>();
  private volatile boolean slow;
  private volatile boolean outage;
  private volatile double unansweredShare;
  private volatile double lateShare;

  /** Makes the service refuse all controllers from now on, or serve them again. */
  public void outage(boolean on) {
    outage = on;
  }

  /** Makes the service refuse one controller from now on, or serve it again. */
  public void refuse(int node, boolean on) {
    if (on) {
      refusedNodes.add(node);
    } else {
      refusedNodes.remove(node);
    }
  }

  /** Sets the share of transactions that are carried out at once and not answered. */
  public void unansweredShare(double share) {
    unansweredShare = share;
  }

  /** Sets the share of transactions that are not answered and are carried out seconds later. */
  public void lateShare(double share) {
    lateShare = share;
  }

  /** Slows all calls and refuses a share of the transactions with 429, or ends this. */
  public void slow(boolean on) {
    slow = on;
  }

  /** Delays the answers to a controller's watches; its other calls are not delayed. */
  public void delayWatch(int node, long millis) {
    watchDelaysMillis.put(node, millis);
  }

  /** Ends all faults. */
  public void clear() {
    slow = false;
    watchDelaysMillis.clear();
    refusedNodes.clear();
    outage = false;
    unansweredShare = 0;
    lateShare = 0;
  }

  boolean hasOutage() {
    return outage;
  }

  boolean refuses(int node) {
    return outage || refusedNodes.contains(node);
  }

  TransactionHandling nextTransactionHandling() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (slow && random.nextDouble() < THROTTLED_SHARE) {
      return TransactionHandling.THROTTLED;
    }
    double draw = random.nextDouble();
    if (draw < unansweredShare) {
      return TransactionHandling.CARRIED_OUT_UNANSWERED;
    }
    return draw < unansweredShare + lateShare
        ? TransactionHandling.CARRIED_OUT_LATE
        : TransactionHandling.ANSWERED;
  }

  long slowMillis() {
    return slow ? ThreadLocalRandom.current().nextLong(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS) : 0;
  }

  long watchDelayMillis(int node) {
    return watchDelaysMillis.getOrDefault(node, 0L);
  }

  long lateMillis() {
    return ThreadLocalRandom.current().nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
  }
}
