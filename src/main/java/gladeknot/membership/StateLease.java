package gladeknot.membership;

import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.json.Json;
import gladeknot.settings.Settings;
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

  private static final String KEYS = StateStore.ROOT + "alive/";
  private static final long RETRY_MICROS = 400_000;

  /** A lease is renewed, and the copy read, so many times in its length. */
  private static final int RENEWALS_A_LEASE = 8;

  /** Until the next read after one that failed. */
  private static final long READ_RETRY_MICROS = 700_000;

  private final StateStore stateStore;
  private final LeaseTimes times;
  private final String node;
  private final String ownKey;
  private final FailoverAdvisor advisor;
  private final Runnable lost;

  private long grant;
  private long renewedMicros = Long.MIN_VALUE / 2;
  private long nextRenewMicros;
  private long nextReadMicros;
  private boolean renewing;
  private boolean alive;
  private boolean announcing;
  private long nowMicros;

  /** A lease that has not been asked for yet; {@code lost} runs when one held has ended. */
  StateLease(
      Settings settings,
      StateStore stateStore,
      LeaseTimes times,
      FailoverAdvisor advisor,
      Runnable lost) {
    this.advisor = advisor;
    this.stateStore = stateStore;
    this.times = times;
    this.node = settings.node();
    this.ownKey = key(settings.node());
    this.lost = lost;
  }

  /** The liveness key of a controller. */
  static String key(String node) {
    return KEYS + node;
  }

  /** Whether a controller's liveness key is there, as far as the copy tells. */
  static boolean isAlive(StateStore stateStore, String node) {
    return stateStore.get(key(node)) != null;
  }

  /** How many controllers are alive as far as the copy tells. */
  static int aliveCount(StateStore stateStore) {
    return stateStore.withPrefix(KEYS).size();
  }

  void now(long micros) {
    nowMicros = micros;
  }

  /** Whether the lease is held, announced, and what others did before has been read. */
  boolean alive() {
    return alive;
  }

  /** The number of the lease, which identifies this life of the controller; 0 without one. */
  long incarnation() {
    return grant;
  }

  String ownKey() {
    return ownKey;
  }

  /** Whether the lease surely holds and the copy is new enough to act on. */
  boolean entitled() {
    return alive
        && announced()
        && nowMicros < times.actsUntilMicros(renewedMicros, stateStore.currentAsOfMicros());
  }

  /** Whether the liveness key is there under the present lease, as far as the copy tells. */
  boolean announced() {
    Entry entry = stateStore.get(ownKey);
    return grant != 0
        && entry != null
        && Json.num(entry.data(), Membership.FIELD_INCARNATION, 0) == grant;
  }

  /** Renews the lease and reads the copy anew, each when it is time. */
  void tick() {
    if (alive && !announced()) {
      // Somebody else's write, or the end of the lease that it was attached to, took it away: the
      // others may have taken our shards since.
      LOG.info("the liveness key is not ours any more");
      end();
      nextRenewMicros = nowMicros;
    }
    boolean unanswered = nowMicros - renewedMicros > times.stateLeaseMicros();
    if (grant != 0 && unanswered && advisor.abandonsLease()) {
      LOG.info("state lease {} is not renewed any more: no answer for a whole lease", grant);
      grant = 0;
      end();
    }
    if (!renewing && nowMicros >= nextRenewMicros) {
      renewing = true;
      if (grant == 0) {
        request();
      } else {
        extend();
      }
    }
    if (alive && nowMicros >= nextReadMicros) {
      // The copy must be known to be current for as long as the lease is to hold: a lease that
      // is renewed while the watch is stuck would hide a cancellation or a takeover.
      nextReadMicros = nowMicros + intervalMicros();
      stateStore.readBarrier(
          () -> {}, () -> nextReadMicros = Math.min(nextReadMicros, nowMicros + READ_RETRY_MICROS));
    }
  }

  private long intervalMicros() {
    return times.stateLeaseMicros() / RENEWALS_A_LEASE;
  }

  private void end() {
    alive = false;
    lost.run();
  }

  private void request() {
    long sent = nowMicros;
    alive = false;
    stateStore.grantLease(
        times.stateLeaseMicros(),
        granted -> {
          renewing = false;
          if (granted.isPresent()) {
            grant = granted.getAsLong();
            renewedMicros = sent;
            announce();
          }
          nextRenewMicros = nowMicros + (grant == 0 ? RETRY_MICROS : intervalMicros());
        });
  }

  private void extend() {
    long sent = nowMicros;
    long extended = grant;
    stateStore.renewLease(
        extended,
        renewal -> {
          renewing = false;
          if (grant == extended) {
            onRenewal(renewal, sent);
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
        LOG.info("state lease {} has ended; a new one is taken", grant);
        grant = 0;
        end();
        nextRenewMicros = nowMicros;
      }
      case UNKNOWN -> nextRenewMicros = nowMicros + RETRY_MICROS;
    }
  }

  /**
   * Puts up the liveness key under the new lease, over one that a former life may have left. The
   * write is conditional on what the copy shows: a former life's, carried out late, must not take
   * the key from this one, since it would go with the former lease and the shards with it.
   */
  private void announce() {
    if (announcing) {
      return;
    }
    announcing = true;
    long with = grant;
    if (announced()) {
      settle(with);
      return;
    }
    Map<String, Object> data =
        Json.of(
            Membership.FIELD_INCARNATION,
            with,
            StorageFormat.FIELD_FORMAT,
            StorageFormat.ANNOUNCED);
    Mutation write = new Mutation(ownKey, data, with);
    stateStore.tryAcquireWrites(1, 0);
    stateStore.commit(
        Map.of(ownKey, stateStore.modRevision(ownKey)),
        List.of(write),
        outcome -> {
          if (outcome.status() == CommitStatus.COMMITTED && with == grant) {
            settle(with);
            return;
          }
          announcing = false;
          if (outcome.status() == CommitStatus.REJECTED && with == grant) {
            grant = 0;
            nextRenewMicros = nowMicros;
          } else {
            nextRenewMicros = nowMicros + RETRY_MICROS;
          }
        });
  }

  /** The key is up; what others did while it was not must be in the copy before we act. */
  private void settle(long with) {
    stateStore.readBarrier(
        () -> {
          announcing = false;
          if (with == grant && announced()) {
            alive = true;
            LOG.info("alive as {} under state lease {}", node, grant);
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
