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
 * Stored delegations by which a controller that a shard's workers can reach renews their leases for
 * a limited time in the owner's place.
 */
final class LeaseDelegations {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseDelegations.class);

  /** How many delegations one controller enters for one term. */
  private static final int MAX_ENTRIES_PER_TERM = 2;

  /** As the owner: the newest delegation that was observed, and when it has surely expired. */
  private static final class Observed {
    private long revision;
    private long untilMicros;
  }

  /** As the delegate: the term of this controller's entries, their number, and their end. */
  private static final class Own {
    private long term;
    private int entries;
    private long untilMicros;
  }

  private final String node;
  private final StateStore stateStore;
  private final ShardTable table;
  private final LeaseTimes times;
  private final Observed[] observed;
  private final Own[] own;
  private long nowMicros;

  LeaseDelegations(Settings settings, StateStore stateStore, ShardTable table, LeaseTimes times) {
    this.node = settings.node();
    this.stateStore = stateStore;
    this.table = table;
    this.times = times;
    this.observed = new Observed[table.shardCount()];
    this.own = new Own[table.shardCount()];
    for (int shard = 0; shard < table.shardCount(); shard++) {
      observed[shard] = new Observed();
      own[shard] = new Own();
    }
  }

  void setTime(long micros) {
    nowMicros = micros;
  }

  /** The revision of the newest delegation of a shard that was observed; 0 if there is none. */
  long revision(int shard) {
    return observed[shard].revision;
  }

  /** Until when another controller may renew the leases of a shard's workers. */
  long untilMicros(int shard) {
    long revision = stateStore.modRevision(MembershipKeys.delegation(shard));
    Observed newest = observed[shard];
    if (revision != newest.revision) {
      newest.revision = revision;
      newest.untilMicros = times.delegatedUntilMicros(nowMicros);
    }
    return newest.untilMicros;
  }

  /** Whether a delegation to this controller for a shard's present term has not expired. */
  boolean holds(int shard, long term) {
    return own[shard].term == term && nowMicros < own[shard].untilMicros;
  }

  /** The other node that is the delegate for a shard's present term, if it is alive. */
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
   * Enters this controller as a shard's delegate, a few times for each term at most.
   *
   * @param then takes whether the delegation holds for the shard's present term
   */
  void enter(int shard, Consumer<Boolean> then) {
    long term = table.term(shard);
    Own entry = own[shard];
    if (entry.term != term) {
      entry.term = term;
      entry.entries = 0;
      entry.untilMicros = 0;
    }
    if (entry.entries >= MAX_ENTRIES_PER_TERM || !stateStore.tryAcquireWrites(1, 0)) {
      then.accept(false);
      return;
    }
    entry.entries++;
    long sentMicros = nowMicros;
    String liveness = MembershipKeys.liveness(node);
    stateStore.commit(
        Map.of(table.key(shard), table.revision(shard), liveness, stateStore.modRevision(liveness)),
        List.of(
            Mutation.put(
                MembershipKeys.delegation(shard),
                MembershipCodec.encode(new DelegationRecord(node, term)))),
        outcome -> then.accept(onEntered(outcome, shard, term, sentMicros)));
  }

  private boolean onEntered(CommitOutcome outcome, int shard, long term, long sentMicros) {
    boolean entered = outcome.status() == CommitStatus.COMMITTED && term == table.term(shard);
    if (entered) {
      LOG.info("lease delegation entered shard={} term={} delegate={}", shard, term, node);
      own[shard].untilMicros = times.delegateUntilMicros(sentMicros);
    }
    return entered;
  }

  /**
   * This controller owns the shard now, and its delegations are over. Returns whether it renewed
   * the workers' leases in the former owner's place within the given time.
   */
  boolean endOnAcquire(int shard, long withinMicros) {
    Own entry = own[shard];
    boolean renewed = entry.entries > 0 && nowMicros - entry.untilMicros < withinMicros;
    entry.entries = 0;
    return renewed;
  }
}
