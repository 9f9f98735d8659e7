package gladeknot.quota;

import gladeknot.commit.KeyMutation;
import gladeknot.commit.TransactionCommitter;
import gladeknot.membership.Membership;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Commits changes of the teams' quota records, with a pause after each change of a record. */
final class QuotaChanges {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaChanges.class);

  /**
   * Pause between two changes of one team's shares, in microseconds. The effect of the first change
   * must be visible before the next one is decided.
   */
  private static final long CHANGE_PAUSE_MICROS = 700_000;

  private final StateStore stateStore;
  private final Membership membership;
  private final TransactionCommitter committer;
  private final QuotaLedger ledger;
  private final QuotaCounters counters;
  private final Set<String> inFlight = new HashSet<>();
  private final Map<String, Long> pausedUntilMicros = new HashMap<>();
  private long nowMicros;

  QuotaChanges(
      StateStore stateStore,
      Membership membership,
      TransactionCommitter committer,
      QuotaLedger ledger,
      QuotaCounters counters) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.committer = committer;
    this.ledger = ledger;
    this.counters = counters;
  }

  /** Sets the current time, by which pauses are measured. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
  }

  /** Returns whether a team's record may be changed now. */
  boolean permits(String team) {
    return !inFlight.contains(team) && nowMicros >= pausedUntilMicros.getOrDefault(team, 0L);
  }

  /** Commits a team's first record. */
  void create(String team, int shard, QuotaRecord record) {
    commit(team, shard, record, ResourceAmount.NONE, () -> true);
  }

  /**
   * Commits a record in which the share of an owned shard is smaller by an amount that the shard
   * does not use.
   */
  void shrink(String team, int shard, QuotaRecord record, ResourceAmount amount) {
    // Checked again when the change is sent: the shard may have had another owner in between.
    BooleanSupplier shareCoversChange =
        () -> {
          ResourceAmount unusedAmount = ledger.unused(team, shard);
          return unusedAmount.cpus() >= 0 && unusedAmount.gpus() >= 0;
        };
    commit(team, shard, record, amount, shareCoversChange);
  }

  /** Commits a record in which the share of an owned shard grows by quota assigned to no shard. */
  void grow(String team, int shard, QuotaRecord record) {
    commit(team, shard, record, ResourceAmount.NONE, () -> true);
  }

  /** Commits a record in which the unproven share of an owned shard becomes the shard's usage. */
  void prove(String team, int shard, QuotaRecord record) {
    ResourceAmount proven = record.share(shard);
    commit(
        team,
        shard,
        record,
        ResourceAmount.NONE,
        () -> ledger.usage(team, shard).minus(proven).isAtMostZero());
  }

  private void commit(
      String team,
      int shard,
      QuotaRecord record,
      ResourceAmount transferred,
      BooleanSupplier stillHolds) {
    inFlight.add(team);
    String key = QuotaRecordCodec.key(team);
    ledger.beginTransfer(team, shard, transferred);
    committer.submit(
        new KeyMutation(
            shard,
            Mutation.put(key, QuotaRecordCodec.encode(record)),
            Map.of(key, stateStore.modRevision(key)),
            stillHolds,
            committed -> onOutcome(team, shard, transferred, committed)));
  }

  private void onOutcome(String team, int shard, ResourceAmount transferred, boolean committed) {
    inFlight.remove(team);
    pausedUntilMicros.put(team, nowMicros + CHANGE_PAUSE_MICROS);
    ledger.endTransfer(team, shard);
    if (!committed) {
      counters.count(QuotaCounters.Event.CHANGES_FAILED);
    } else if (transferred.isPositive()) {
      counters.count(QuotaCounters.Event.TRANSFERS_COMMITTED);
    }
    LOG.info(
        "quota change ended team={} shard={} term={} committed={} revision={}",
        team,
        shard,
        membership.term(shard),
        committed,
        ledger.recordRevision(team));
  }
}
