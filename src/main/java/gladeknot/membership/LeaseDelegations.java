package gladeknot.membership;

import gladeknot.settings.Settings;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Enters and observes lease delegations. A delegation lets a controller that a shard's workers can
 * reach renew their leases for a limited time in place of the shard's owner.
 */
final class LeaseDelegations {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseDelegations.class);

  /** Maximum number of delegations that one controller enters for one term of a shard. */
  private static final int MAX_ENTRIES_PER_TERM = 2;

  /** The newest delegation observed for a shard, and the time by which it has expired. */
  private static final class ObservedDelegation {
    private long revision;
    private long untilMicros;
  }

  /** The number and the end of this controller's own delegations for one term of a shard. */
  private static final class OwnDelegations {
    private long term;
    private int entryCount;
    private long untilMicros;
  }

  private final String node;
  private final StateStore stateStore;
  private final ShardTable table;
  private final LeaseTimes times;
  private final ObservedDelegation[] observedDelegations;
  private final OwnDelegations[] ownDelegations;
  private long nowMicros;

  LeaseDelegations(Settings settings, StateStore stateStore, ShardTable table, LeaseTimes times) {
    this.node = settings.node();
    this.stateStore = stateStore;
    this.table = table;
    this.times = times;
    this.observedDelegations = new ObservedDelegation[table.shardCount()];
    this.ownDelegations = new OwnDelegations[table.shardCount()];
    for (int shard = 0; shard < table.shardCount(); shard++) {
      observedDelegations[shard] = new ObservedDelegation();
      ownDelegations[shard] = new OwnDelegations();
    }
  }

  void setTime(long micros) {
    nowMicros = micros;
  }

  /** Returns the revision of the newest delegation observed for a shard; 0 if there is none. */
  long revision(int shard) {
    return observedDelegations[shard].revision;
  }

  /** Returns the time until which another controller may renew the leases of a shard's workers. */
  long untilMicros(int shard) {
    long revision = stateStore.modRevision(MembershipKeys.delegation(shard));
    ObservedDelegation newest = observedDelegations[shard];
    if (revision != newest.revision) {
      newest.revision = revision;
      newest.untilMicros = times.delegationExpiredAtMicros(nowMicros);
    }
    return newest.untilMicros;
  }

  /** Returns whether this controller has an unexpired delegation for the given term of a shard. */
  boolean holds(int shard, long term) {
    return ownDelegations[shard].term == term && nowMicros < ownDelegations[shard].untilMicros;
  }

  /** Returns the delegate for a shard's current term if it is another node and is alive. */
  Optional<String> otherDelegate(int shard) {
    Entry entry = stateStore.get(MembershipKeys.delegation(shard));
    if (entry == null) {
      return Optional.empty();
    }
    DelegationRecord delegation = MembershipCodec.delegation(entry);
    String delegate = delegation.delegate();
    boolean usable =
        delegation.term() == table.term(shard)
            && !node.equals(delegate)
            && StateLease.isAlive(stateStore, delegate);
    return usable && untilMicros(shard) > nowMicros ? Optional.of(delegate) : Optional.empty();
  }

  /**
   * Enters this controller as a shard's delegate, at most {@link #MAX_ENTRIES_PER_TERM} times for
   * each term.
   *
   * @param callback receives whether the delegation was entered and the shard's term is unchanged
   */
  void enter(int shard, Consumer<Boolean> callback) {
    long term = table.term(shard);
    OwnDelegations ownDelegation = ownDelegations[shard];
    if (ownDelegation.term != term) {
      ownDelegation.term = term;
      ownDelegation.entryCount = 0;
      ownDelegation.untilMicros = 0;
    }
    if (ownDelegation.entryCount >= MAX_ENTRIES_PER_TERM || !stateStore.tryAcquireWrites(1, 0)) {
      callback.accept(false);
      return;
    }
    ownDelegation.entryCount++;
    long sentMicros = nowMicros;
    String liveness = MembershipKeys.liveness(node);
    stateStore.commit(
        Map.of(table.key(shard), table.revision(shard), liveness, stateStore.modRevision(liveness)),
        List.of(
            Mutation.put(
                MembershipKeys.delegation(shard),
                MembershipCodec.encode(new DelegationRecord(node, term)))),
        outcome -> callback.accept(onEntered(outcome, shard, term, sentMicros)));
  }

  private boolean onEntered(CommitOutcome outcome, int shard, long term, long sentMicros) {
    boolean entered = outcome.status() == CommitStatus.COMMITTED && term == table.term(shard);
    if (entered) {
      LOG.info("lease delegation entered shard={} term={} delegate={}", shard, term, node);
      ownDelegations[shard].untilMicros = times.delegateMayActUntilMicros(sentMicros);
    }
    return entered;
  }

  /**
   * Ends this controller's delegations for a shard that it has acquired. Returns whether it entered
   * any, and the last one expired less than the given time ago or has not expired yet.
   */
  boolean endOnAcquire(int shard, long maxAgeMicros) {
    OwnDelegations ownDelegation = ownDelegations[shard];
    boolean renewed =
        ownDelegation.entryCount > 0 && nowMicros - ownDelegation.untilMicros < maxAgeMicros;
    ownDelegation.entryCount = 0;
    return renewed;
  }
}
