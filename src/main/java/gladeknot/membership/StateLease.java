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
 * This controller's lease at the state service and the liveness key that is attached to the lease.
 * The lease's number is the controller's incarnation, which is different for each life of the
 * process.
 */
final class StateLease {
  private static final Logger LOG = LoggerFactory.getLogger(StateLease.class);

  /** Interval before a failed request, renewal or announcement is retried, in microseconds. */
  private static final long RETRY_MICROS = 400_000;

  /** Number of lease renewals, and of checks that the cache is current, for each lease duration. */
  private static final int RENEWALS_PER_LEASE = 8;

  /** Interval before a failed read barrier is retried, in microseconds. */
  private static final long READ_RETRY_MICROS = 700_000;

  private static final long NO_LEASE = 0;

  /** Receives notice when a lease that was held has ended. */
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

  /** Creates a lease that has not been requested yet. */
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

  /** Returns whether a controller's liveness key exists in the watch cache. */
  static boolean isAlive(StateStore stateStore, String node) {
    return stateStore.get(MembershipKeys.liveness(node)) != null;
  }

  /** Returns the number of controllers whose liveness keys exist in the watch cache. */
  static int aliveCount(StateStore stateStore) {
    return stateStore.withPrefix(MembershipKeys.livenessPrefix()).size();
  }

  void setTime(long micros) {
    nowMicros = micros;
  }

  /**
   * Returns whether the lease is held and announced, and a read after the announcement has brought
   * the cache up to date.
   */
  boolean alive() {
    return alive;
  }

  /** Returns the number of the lease, which identifies the incarnation; 0 without a lease. */
  long incarnation() {
    return leaseId;
  }

  /** Returns this controller's liveness key. */
  String ownKey() {
    return ownKey;
  }

  /** Returns whether the lease certainly holds and the cache is recent enough to act on. */
  boolean mayAct() {
    return alive
        && isAnnounced()
        && nowMicros < times.mayActUntilMicros(renewedMicros, stateStore.currentAsOfMicros());
  }

  /** Returns whether the watch cache shows the liveness key under the current lease. */
  private boolean isAnnounced() {
    Entry entry = stateStore.get(ownKey);
    return leaseId != NO_LEASE
        && entry != null
        && MembershipCodec.liveness(entry).incarnation() == leaseId;
  }

  /** Renews the lease and checks that the cache is current, each when due. */
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
      // The cache must be known to be current for as long as the lease is to hold. If the lease
      // were renewed while the watch is stuck, a cancellation or a failover would go unnoticed.
      nextReadMicros = nowMicros + intervalMicros();
      stateStore.readBarrier(
          () -> {}, () -> nextReadMicros = Math.min(nextReadMicros, nowMicros + READ_RETRY_MICROS));
    }
  }

  private void checkAnnounced() {
    if (alive && !isAnnounced()) {
      // Another write, or the end of the lease that the key was attached to, removed or replaced
      // the key. Other controllers may have taken this controller's shards since then.
      LOG.info("liveness key lost node={} lease={}", node, leaseId);
      markLost();
      nextRenewMicros = nowMicros;
    }
  }

  private void abandonIfUnanswered() {
    boolean unanswered = nowMicros - renewedMicros > times.stateLeaseMicros();
    if (leaseId != NO_LEASE && unanswered && advisor.abandonsLease()) {
      LOG.info("state lease abandoned lease={} reason=no-answer-for-a-whole-lease", leaseId);
      leaseId = NO_LEASE;
      markLost();
    }
  }

  private long intervalMicros() {
    return times.stateLeaseMicros() / RENEWALS_PER_LEASE;
  }

  private void markLost() {
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
    long renewedLeaseId = leaseId;
    stateStore.renewLease(
        renewedLeaseId,
        renewal -> {
          renewing = false;
          if (leaseId == renewedLeaseId) {
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
        markLost();
        nextRenewMicros = nowMicros;
      }
      case UNKNOWN -> nextRenewMicros = nowMicros + RETRY_MICROS;
    }
  }

  /**
   * Writes the liveness key under the new lease and replaces the key of a former incarnation, if
   * there is one. The write is conditional on the key's revision in the cache. Without the
   * condition, a delayed write of a former incarnation could replace this incarnation's key. The
   * key would then be removed when the former lease ends, and this controller would lose its
   * shards.
   */
  private void announce() {
    if (announcing) {
      return;
    }
    announcing = true;
    long announcedLeaseId = leaseId;
    if (isAnnounced()) {
      awaitFreshCache(announcedLeaseId);
      return;
    }
    LivenessRecord record = new LivenessRecord(announcedLeaseId, StorageFormat.ANNOUNCED);
    stateStore.tryAcquireWrites(1, 0);
    stateStore.commit(
        Map.of(ownKey, stateStore.modRevision(ownKey)),
        List.of(new Mutation(ownKey, MembershipCodec.encode(record), announcedLeaseId)),
        outcome -> onAnnounced(outcome, announcedLeaseId));
  }

  private void onAnnounced(CommitOutcome outcome, long announcedLeaseId) {
    boolean current = announcedLeaseId == leaseId;
    if (outcome.status() == CommitStatus.COMMITTED && current) {
      awaitFreshCache(announcedLeaseId);
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

  /**
   * Waits until the cache shows what other controllers did while the liveness key was missing,
   * before this controller acts.
   */
  private void awaitFreshCache(long announcedLeaseId) {
    stateStore.readBarrier(
        () -> {
          announcing = false;
          if (announcedLeaseId == leaseId && isAnnounced()) {
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
