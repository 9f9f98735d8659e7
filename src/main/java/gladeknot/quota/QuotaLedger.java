package gladeknot.quota;

import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * What each shard may use for each team, what it uses, and what is left: the one place that says
 * whether a shard may start tasks of a team.
 *
 * <p>An amount is used from the decision to start a task until the task's end is committed. Until
 * then the shard's record holds the attempt, and whoever owns the shard next may start it again.
 */
final class QuotaLedger {
  /** A shard's share of what its team has no limit of; the sum over all shards fits a long. */
  private static final long UNLIMITED = Long.MAX_VALUE >> 20;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final Map<TeamShard, ResourceAmount> pendingTransfers = new HashMap<>();
  private final Map<String, DecodedRecord> decodedRecords = new HashMap<>();

  /** A record and the entry that it was decoded from. */
  private record DecodedRecord(Entry entry, QuotaRecord record) {}

  QuotaLedger(
      Settings settings, StateStore stateStore, Membership membership, SliceRegistry slices) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
  }

  /** A team's record as the cached state has it; empty if there is none. */
  Optional<QuotaRecord> record(String team) {
    Entry entry = stateStore.get(QuotaRecordCodec.key(team));
    if (entry == null) {
      return Optional.empty();
    }
    DecodedRecord decoded = decodedRecords.get(team);
    if (decoded == null || decoded.entry() != entry) {
      QuotaRecord record = QuotaRecordCodec.decode(entry, membership.shardCount());
      decoded = new DecodedRecord(entry, record);
      decodedRecords.put(team, decoded);
    }
    return Optional.of(decoded.record());
  }

  /** The revision of a team's record in the cached state; 0 if there is none. */
  long recordRevision(String team) {
    return stateStore.modRevision(QuotaRecordCodec.key(team));
  }

  /** A shard's share as the team's record has it; none if the record does not prove any. */
  ResourceAmount committedShare(String team, int shard) {
    return record(team).map(record -> record.share(shard)).orElse(ResourceAmount.NONE);
  }

  /** What a shard may use for a team: its committed share of each limit that there is. */
  ResourceAmount share(String team, int shard) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return ResourceAmount.NONE;
    }
    ResourceAmount committed = committedShare(team, shard);
    return new ResourceAmount(
        limits.limitsCpus() ? committed.cpus() : UNLIMITED,
        limits.limitsGpus() ? committed.gpus() : UNLIMITED);
  }

  /** What a shard's tasks of a team use; a task counts until its end is committed. */
  ResourceAmount usage(String team, int shard) {
    return usage(team, shard, Slice::occupyingCount);
  }

  /** What a shard's tasks of a team use less those whose ends only wait to be committed. */
  ResourceAmount liveUsage(String team, int shard) {
    return usage(team, shard, Slice::liveCount);
  }

  private ResourceAmount usage(String team, int shard, ToIntFunction<Slice> counted) {
    long cpus = 0;
    long gpus = 0;
    for (Slice slice : slices.inShard(shard)) {
      if (team.equals(slice.team())) {
        int count = counted.applyAsInt(slice);
        cpus += slice.cpus() * count;
        gpus += slice.gpus() * count;
      }
    }
    return new ResourceAmount(cpus, gpus);
  }

  /** An amount that a shard is about to transfer, committed or not; none if there is none. */
  ResourceAmount pendingTransfer(String team, int shard) {
    return pendingTransfers.getOrDefault(new TeamShard(team, shard), ResourceAmount.NONE);
  }

  /** What a shard neither uses nor transfers; less than nothing if its share is exceeded. */
  ResourceAmount unused(String team, int shard) {
    return share(team, shard).minus(usage(team, shard)).minus(pendingTransfer(team, shard));
  }

  /**
   * What a shard may still start for a team; less than nothing if its share is exceeded, and
   * nothing while the shares don't bound what the team uses.
   */
  ResourceAmount available(String team, int shard) {
    ResourceAmount unused = unused(team, shard);
    return new ResourceAmount(
        boundsCpus(team) ? unused.cpus() : Math.min(0, unused.cpus()),
        boundsGpus(team) ? unused.gpus() : Math.min(0, unused.gpus()));
  }

  /** Whether starts of some slice that have been decided may be committed. */
  boolean coversStarts(Slice slice) {
    ResourceAmount unused = unused(slice.team(), slice.shard());
    return unused.cpus() >= 0
        && boundsCpus(slice.team())
        && (slice.gpus() == 0 || (unused.gpus() >= 0 && boundsGpus(slice.team())));
  }

  /** Whether a shard's tasks of a team that may be on machines exceed its share, if it is known. */
  boolean isExceeded(String team, int shard) {
    if (!settings.teams().containsKey(team)) {
      return false;
    }
    ResourceAmount left = share(team, shard).minus(liveUsage(team, shard));
    return left.cpus() < 0 || left.gpus() < 0;
  }

  /** Whether the shares of a team's CPUs are all known and within its limit, if it has one. */
  private boolean boundsCpus(String team) {
    Settings.Team limits = settings.teams().get(team);
    return limits == null
        || !limits.limitsCpus()
        || record(team).filter(record -> record.boundsCpus(limits)).isPresent();
  }

  /** The same for GPUs. */
  private boolean boundsGpus(String team) {
    Settings.Team limits = settings.teams().get(team);
    return limits == null
        || !limits.limitsGpus()
        || record(team).filter(record -> record.boundsGpus(limits)).isPresent();
  }

  /** What a team may still start over all shards, transfers under way included. */
  ResourceAmount clusterHeadroom(String team) {
    ResourceAmount sum = ResourceAmount.NONE;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      sum = sum.plus(share(team, shard).minus(liveUsage(team, shard)));
    }
    return sum.atLeastZero();
  }

  /** Whether no shard's records or decisions hold a task of a team. */
  boolean isIdle(String team) {
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      if (usage(team, shard).isPositive()) {
        return false;
      }
    }
    return true;
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
