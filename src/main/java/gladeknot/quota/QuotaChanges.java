package gladeknot.quota;

import gladeknot.commit.KeyMutation;
import gladeknot.commit.TransactionCommitter;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Commits changes of the teams' quota records, with a pause between two changes of one record. */
final class QuotaChanges {
  /** Between two changes of one team's shares: the effect of the first must be seen before. */
  private static final long PAUSE_MICROS = 700_000;

  private final StateStore stateStore;
  private final TransactionCommitter committer;
  private final QuotaBalance balance;
  private final Set<String> inFlight = new HashSet<>();
  private final Map<String, Long> pausedUntilMicros = new HashMap<>();
  private long nowMicros;

  QuotaChanges(StateStore stateStore, TransactionCommitter committer, QuotaBalance balance) {
    this.stateStore = stateStore;
    this.committer = committer;
    this.balance = balance;
  }

  /** Sets the time from which pauses are counted. */
  void tick(long now) {
    nowMicros = now;
  }

  /** Whether a team's record may be changed now. */
  boolean permits(String team) {
    return !inFlight.contains(team) && nowMicros >= pausedUntilMicros.getOrDefault(team, 0L);
  }

  /**
   * Commits a team's shares if its record is still the one that the copy shows.
   *
   * @param shard the shard on whose owner's authority the change is made
   * @param shares the new shares, the first shard's first
   * @param transferred by how much the shard's own share gets smaller
   */
  void commit(String team, int shard, List<ResourceAmount> shares, ResourceAmount transferred) {
    inFlight.add(team);
    String key = QuotaRecordCodec.key(team);
    balance.beginTransfer(team, shard, transferred);
    committer.submit(
        new KeyMutation(
            shard,
            Mutation.put(key, QuotaRecordCodec.encode(shares)),
            Map.of(key, stateStore.modRevision(key)),
            committed -> onOutcome(team, shard)));
  }

  private void onOutcome(String team, int shard) {
    inFlight.remove(team);
    pausedUntilMicros.put(team, nowMicros + PAUSE_MICROS);
    balance.endTransfer(team, shard);
  }
}
