package gladeknot.membership;

import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.settings.Settings;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.Entry;
import gladeknot.state.LeaseRenewal;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease at the state service and the liveness key that is attached to it. The
 * lease's number is the controller's incarnation: each life of the process has one of its own.
 */
final class StateLease {
  private static final Logger LOG = LoggerFactory.getLogger(StateLease.class);

  private static final long RETRY_MICROS = 400_000;

  /** A lease is renewed, and the cache proved current, so many times in its length. */
  private static final int RENEWALS_PER_LEASE = 8;

  /** Until the next read barrier after one that failed. */
  private static final long READ_RETRY_MICROS = 700_000;

  private static final long NO_LEASE = 0;

  /** Is notified when a lease that was held has ended. */
  interface Listener {
    void onLost();
  }

  private final StateStore stateStore;
  private final LeaseTimes times;
  private final String node;
  private final String ownKey;
  private final FailoverAdvisor advisor;
  private final Listener listener;

  private long leaseId = NO_LEASE;
  private long renewedMicros = Long.MIN_VALUE / 2;
  private long nextRenewMicros;
  private long nextReadMicros;
  private boolean renewing;
  private boolean alive;
  private boolean announcing;
  private long nowMicros;

  /** A lease that has not been requested yet. */
  StateLease(
      Settings settings,
      StateStore stateStore,
      LeaseTimes times,
      FailoverAdvisor advisor,
      Listener listener) {
    this.advisor = advisor;
    this.stateStore = stateStore;
    this.times = times;
    this.node = settings.node();
    this.ownKey = MembershipKeys.liveness(settings.node());
    this.listener = listener;
  }

  /** Whether a controller's liveness key exists, by the watch cache. */
  static boolean isAlive(StateStore stateStore, String node) {
    return stateStore.get(MembershipKeys.liveness(node)) != null;
  }

  /** How many controllers are alive, by the watch cache. */
  static int aliveCount(StateStore stateStore) {
    return stateStore.withPrefix(MembershipKeys.LIVENESS_PREFIX).size();
  }

  void setTime(long micros) {
    nowMicros = micros;
  }

  /** Whether the lease is held and announced, and what others did before has been read. */
  boolean alive() {
    return alive;
  }

  /** The number of the lease, which identifies this life of the controller; 0 without one. */
  long incarnation() {
    return leaseId;
  }

  /** The liveness key of this controller. */
  String ownKey() {
    return ownKey;
  }

  /** Whether the lease surely holds and the cache is recent enough to act on. */
  boolean entitled() {
    return alive
        && announced()
        && nowMicros < times.actsUntilMicros(renewedMicros, stateStore.currentAsOfMicros());
  }

  /** Whether the liveness key exists under the present lease, by the watch cache. */
  private boolean announced() {
    Entry entry = stateStore.get(ownKey);
    return leaseId != NO_LEASE
        && entry != null
        && MembershipCodec.liveness(entry).incarnation() == leaseId;
  }

  /** Renews the lease and proves the cache current, each when it is time. */
  void tick() {
    checkAnnounced();
    abandonIfUnanswered();
    if (!renewing && nowMicros >= nextRenewMicros) {
      renewing = true;
      if (leaseId == NO_LEASE) {
        request();
      } else {
        renew();
      }
    }
    if (alive && nowMicros >= nextReadMicros) {
      // The cache must be known to be current for as long as the lease is to hold: a lease that is
      // renewed while the watch is stuck would hide a cancellation or a failover.
      nextReadMicros = nowMicros + intervalMicros();
      stateStore.readBarrier(
          () -> {}, () -> nextReadMicros = Math.min(nextReadMicros, nowMicros + READ_RETRY_MICROS));
    }
  }

  private void checkAnnounced() {
    if (alive && !announced()) {
      // Another write, or the end of the lease that it was attached to, removed it: the others may
      // have taken this controller's shards since.
      LOG.info("liveness key lost node={} lease={}", node, leaseId);
      end();
      nextRenewMicros = nowMicros;
    }
  }

  private void abandonIfUnanswered() {
    boolean unanswered = nowMicros - renewedMicros > times.stateLeaseMicros();
    if (leaseId != NO_LEASE && unanswered && advisor.abandonsLease()) {
      LOG.info("state lease abandoned lease={} reason=no-answer-for-a-whole-lease", leaseId);
      leaseId = NO_LEASE;
      end();
    }
  }

  private long intervalMicros() {
    return times.stateLeaseMicros() / RENEWALS_PER_LEASE;
  }

  private void end() {
    alive = false;
    listener.onLost();
  }

  private void request() {
    long sentMicros = nowMicros;
    alive = false;
    stateStore.grantLease(
        times.stateLeaseMicros(),
        granted -> {
          renewing = false;
          if (granted.isPresent()) {
            leaseId = granted.getAsLong();
            renewedMicros = sentMicros;
            announce();
          }
          nextRenewMicros = nowMicros + (leaseId == NO_LEASE ? RETRY_MICROS : intervalMicros());
        });
  }

  private void renew() {
    long sentMicros = nowMicros;
    long renewed = leaseId;
    stateStore.renewLease(
        renewed,
        renewal -> {
          renewing = false;
          if (leaseId == renewed) {
            onRenewal(renewal, sentMicros);
          }
        });
  }

  private void onRenewal(LeaseRenewal renewal, long sentMicros) {
    switch (renewal) {
      case RENEWED -> {
        renewedMicros = sentMicros;
        nextRenewMicros = nowMicros + intervalMicros();
        if (!alive) {
          announce();
        }
      }
      case EXPIRED -> {
        LOG.info("state lease expired lease={}", leaseId);
        leaseId = NO_LEASE;
        end();
        nextRenewMicros = nowMicros;
      }
      case UNKNOWN -> nextRenewMicros = nowMicros + RETRY_MICROS;
    }
  }

  /**
   * Writes the liveness key under the new lease, over one that a former life may have left. The
   * write is conditional on what the cache shows: a former life's, executed late, must not take the
   * key from this one, since it would vanish with the former lease, and the shards with it.
   */
  private void announce() {
    if (announcing) {
      return;
    }
    announcing = true;
    long announced = leaseId;
    if (announced()) {
      awaitFreshCache(announced);
      return;
    }
    LivenessRecord record = new LivenessRecord(announced, StorageFormat.ANNOUNCED);
    stateStore.tryAcquireWrites(1, 0);
    stateStore.commit(
        Map.of(ownKey, stateStore.modRevision(ownKey)),
        List.of(new Mutation(ownKey, MembershipCodec.encode(record), announced)),
        outcome -> onAnnounced(outcome, announced));
  }

  private void onAnnounced(CommitOutcome outcome, long announced) {
    boolean current = announced == leaseId;
    if (outcome.status() == CommitStatus.COMMITTED && current) {
      awaitFreshCache(announced);
      return;
    }
    announcing = false;
    if (outcome.status() == CommitStatus.REJECTED && current) {
      leaseId = NO_LEASE;
      nextRenewMicros = nowMicros;
    } else {
      nextRenewMicros = nowMicros + RETRY_MICROS;
    }
  }

  /** What others did while the key was missing must be in the cache before this node acts. */
  private void awaitFreshCache(long announced) {
    stateStore.readBarrier(
        () -> {
          announcing = false;
          if (announced == leaseId && announced()) {
            alive = true;
            LOG.info("controller alive node={} lease={}", node, leaseId);
          } else {
            nextRenewMicros = nowMicros;
          }
        },
        () -> {
          announcing = false;
          nextRenewMicros = nowMicros + RETRY_MICROS;
        });
  }
}
