package gladeknot.quota;

import com.google.common.math.LongMath;
import gladeknot.json.ResourceUnits;
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
 * Computes each shard's share, usage and available quota for each team. Only this class decides
 * whether a shard may start tasks of a team.
 *
 * <p>An amount is used from the decision to start a task until the task's end is committed. Until
 * then the shard's record holds the attempt, and the next owner of the shard may start it again.
 */
final class QuotaLedger {
  /** Share of a resource that the team's limits don't restrict, in billionths. */
  private static final long UNLIMITED_SHARE = ResourceUnits.MAX_AVAILABLE;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final Map<TeamShard, ResourceAmount> pendingTransfers = new HashMap<>();
  private final Map<String, DecodedRecord> decodedRecords = new HashMap<>();
  private final Map<String, String> keysOfTeams = new HashMap<>();

  /** A record and the entry that it was decoded from. */
  private record DecodedRecord(Entry entry, QuotaRecord record) {}

  QuotaLedger(
      Settings settings, StateStore stateStore, Membership membership, SliceRegistry slices) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
    settings.teams().keySet().forEach(team -> keysOfTeams.put(team, QuotaRecordCodec.key(team)));
  }

  /** Returns a team's record in the watch cache; empty if there is none. */
  Optional<QuotaRecord> record(String team) {
    Entry entry = stateStore.get(key(team));
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

  /**
   * Returns the unit, in billionths, of which all changes of shares must be multiples. Earlier
   * versions, which may still change the records, write whole thousandths only.
   */
  long shareUnit() {
    return membership.format().allowsExactShares() ? 1 : ResourceUnits.PER_THOUSANDTH;
  }

  /** Returns the revision of a team's record in the watch cache; 0 if there is none. */
  long recordRevision(String team) {
    return stateStore.modRevision(key(team));
  }

  /** Returns the key of a team's record, which every decision on a start looks up. */
  private String key(String team) {
    String key = keysOfTeams.get(team);
    return key == null ? QuotaRecordCodec.key(team) : key;
  }

  /** Returns a shard's share in the team's record; zero if it is unproven or there is no record. */
  ResourceAmount committedShare(String team, int shard) {
    return record(team).map(record -> record.share(shard)).orElse(ResourceAmount.NONE);
  }

  /**
   * Returns what a shard may use for a team: the committed share of limited resources, and an
   * unlimited amount of all other resources. It is zero for a team without settings.
   */
  ResourceAmount share(String team, int shard) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return ResourceAmount.NONE;
    }
    ResourceAmount committed = committedShare(team, shard);
    return new ResourceAmount(
        limits.limitsCpus() ? committed.cpus() : UNLIMITED_SHARE,
        limits.limitsGpus() ? committed.gpus() : UNLIMITED_SHARE);
  }

  /** Returns what a shard's tasks of a team use; a task counts until its end is committed. */
  ResourceAmount usage(String team, int shard) {
    return usage(team, shard, Slice::occupyingCount);
  }

  /** Returns the usage without tasks whose ends are only waiting to be committed. */
  ResourceAmount liveUsage(String team, int shard) {
    return usage(team, shard, Slice::liveCount);
  }

  private ResourceAmount usage(String team, int shard, ToIntFunction<Slice> taskCount) {
    long cpus = 0;
    long gpus = 0;
    for (Slice slice : slices.inShard(shard)) {
      if (team.equals(slice.team())) {
        int count = taskCount.applyAsInt(slice);
        cpus = LongMath.saturatedAdd(cpus, LongMath.saturatedMultiply(slice.cpus(), count));
        gpus = LongMath.saturatedAdd(gpus, LongMath.saturatedMultiply(slice.gpus(), count));
      }
    }
    return new ResourceAmount(cpus, gpus);
  }

  /** Returns the amount of a shard's transfer in flight, committed or not; zero without one. */
  ResourceAmount pendingTransfer(String team, int shard) {
    return pendingTransfers.getOrDefault(new TeamShard(team, shard), ResourceAmount.NONE);
  }

  /** Returns what a shard neither uses nor transfers; negative if its share is exceeded. */
  ResourceAmount unused(String team, int shard) {
    return share(team, shard).minus(usage(team, shard)).minus(pendingTransfer(team, shard));
  }

  /**
   * Returns the amount that a shard may still start for a team. It is negative if the share is
   * exceeded, and never positive while the shares don't bound what the team uses.
   */
  ResourceAmount available(String team, int shard) {
    ResourceAmount unused = unused(team, shard);
    return new ResourceAmount(
        boundsCpus(team) ? unused.cpus() : Math.min(0, unused.cpus()),
        boundsGpus(team) ? unused.gpus() : Math.min(0, unused.gpus()));
  }

  /** Returns whether a slice's starts that have been decided may be committed. */
  boolean coversStarts(Slice slice) {
    ResourceAmount unused = unused(slice.team(), slice.shard());
    return unused.cpus() >= 0
        && boundsCpus(slice.team())
        && (slice.gpus() == 0 || (unused.gpus() >= 0 && boundsGpus(slice.team())));
  }

  /**
   * Returns whether a shard's tasks of a team that may be on machines exceed its share; false for a
   * team without settings.
   */
  boolean isExceeded(String team, int shard) {
    if (!settings.teams().containsKey(team)) {
      return false;
    }
    ResourceAmount remaining = share(team, shard).minus(liveUsage(team, shard));
    return remaining.cpus() < 0 || remaining.gpus() < 0;
  }

  /** Returns whether a team's CPU shares are proven and within its limit, or it has no limit. */
  private boolean boundsCpus(String team) {
    Settings.Team limits = settings.teams().get(team);
    return limits == null
        || !limits.limitsCpus()
        || record(team).filter(record -> record.boundsCpus(limits)).isPresent();
  }

  /** Returns whether a team's GPU shares are proven and within its limit, or it has no limit. */
  private boolean boundsGpus(String team) {
    Settings.Team limits = settings.teams().get(team);
    return limits == null
        || !limits.limitsGpus()
        || record(team).filter(record -> record.boundsGpus(limits)).isPresent();
  }

  /** Returns what a team may still start over all shards, including amounts being transferred. */
  ResourceAmount clusterHeadroom(String team) {
    ResourceAmount sum = ResourceAmount.NONE;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      sum = sum.plus(share(team, shard).minus(liveUsage(team, shard)));
    }
    return sum.atLeastZero();
  }

  /** Returns whether no task of a team is recorded or decided to start in any shard. */
  boolean isIdle(String team) {
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      if (usage(team, shard).isPositive()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Makes an amount that a shard transfers unavailable to the shard, even before the transfer is
   * committed.
   */
  void beginTransfer(String team, int shard, ResourceAmount amount) {
    pendingTransfers.put(new TeamShard(team, shard), amount);
  }

  /** Ends a transfer. If it was committed, the share is smaller now; otherwise it is unchanged. */
  void endTransfer(String team, int shard) {
    pendingTransfers.remove(new TeamShard(team, shard));
  }
}
