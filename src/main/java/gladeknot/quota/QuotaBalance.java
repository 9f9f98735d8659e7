package gladeknot.quota;

import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;

/** What the shards' quota shares are, how much of them is used, and what is left. */
final class QuotaBalance {
  /** A shard's share of what its team has no limit of; the sum over all shards fits a long. */
  private static final long UNLIMITED = Long.MAX_VALUE >> 20;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final Map<TeamShard, ResourceAmount> pendingTransfers = new HashMap<>();

  QuotaBalance(
      Settings settings, StateStore stateStore, Membership membership, SliceRegistry slices) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
  }

  /** Whether a team's record exists, as far as the copy shows. */
  boolean isAllocated(String team) {
    return stateStore.get(QuotaRecordCodec.key(team)) != null;
  }

  /** A shard's share as the team's record has it; none if there is no record. */
  ResourceAmount committedShare(String team, int shard) {
    Entry entry = stateStore.get(QuotaRecordCodec.key(team));
    return entry == null ? ResourceAmount.NONE : QuotaRecordCodec.decodeShare(entry, shard);
  }

  /** What a shard may use for a team: its committed share of each limit that there is. */
  private ResourceAmount share(String team, int shard) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return ResourceAmount.NONE;
    }
    ResourceAmount committed = committedShare(team, shard);
    return new ResourceAmount(
        limits.limitsCpus() ? committed.cpus() : UNLIMITED,
        limits.limitsGpus() ? committed.gpus() : UNLIMITED);
  }

  /** What a shard's tasks of a team use; every task that may still be on a machine counts. */
  ResourceAmount usage(String team, int shard) {
    long cpus = 0;
    long gpus = 0;
    for (Slice slice : slices.inShard(shard)) {
      if (team.equals(slice.team())) {
        int live = slice.liveCount();
        cpus += slice.cpus() * live;
        gpus += slice.gpus() * live;
      }
    }
    return new ResourceAmount(cpus, gpus);
  }

  /** What a shard may still start for a team; less than nothing if its share is exceeded. */
  ResourceAmount available(String team, int shard) {
    return share(team, shard)
        .minus(usage(team, shard))
        .minus(pendingTransfers.getOrDefault(new TeamShard(team, shard), ResourceAmount.NONE));
  }

  /** What a team may still start over all shards, transfers under way included. */
  ResourceAmount clusterHeadroom(String team) {
    ResourceAmount sum = ResourceAmount.NONE;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      sum = sum.plus(share(team, shard).minus(usage(team, shard)));
    }
    return sum.atLeastZero();
  }

  /** An amount that a shard transfers is no longer available to it, committed or not. */
  void beginTransfer(String team, int shard, ResourceAmount amount) {
    pendingTransfers.put(new TeamShard(team, shard), amount);
  }

  /** A transfer was committed, and the share is smaller, or it was not, and nothing has changed. */
  void endTransfer(String team, int shard) {
    pendingTransfers.remove(new TeamShard(team, shard));
  }
}
