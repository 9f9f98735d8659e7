package gladeknot.quota;

import gladeknot.commit.StartAdmission;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.JobSpec;
import gladeknot.json.ResourceUnits;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Divides the teams' limits among the shards. The sum of a team's shares never exceeds its limit.
 * Only the owner of a shard, which knows the shard's usage, makes the shard's share smaller. It
 * transfers quota to shards with a deficit.
 */
public final class QuotaAllocator {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaAllocator.class);
  private static final long INTERVAL_MICROS = 150_000;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final QuotaLedger ledger;
  private final QuotaCounters counters = new QuotaCounters();
  private final QuotaMonitor monitor;
  private final QuotaChanges changes;
  private final ShardDeficits deficits = new ShardDeficits();
  private final DeficitAnnouncer announcer;
  private final QuotaTransfers transfers;
  private final ShareCorrection correction;
  private long nextMicros;
  private long nowMicros;

  /** Creates an allocator for the shares that the watch cache shows. */
  public QuotaAllocator(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      SliceRegistry slices,
      TransactionCommitter committer,
      Outbox outbox) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.ledger = new QuotaLedger(settings, stateStore, membership, slices);
    this.monitor = new QuotaMonitor(settings, membership, ledger, counters);
    this.changes = new QuotaChanges(stateStore, membership, committer, ledger, counters);
    this.announcer = new DeficitAnnouncer(settings.node(), membership, deficits, outbox);
    this.transfers = new QuotaTransfers(membership, ledger, changes, deficits, counters);
    this.correction = new ShareCorrection(membership, ledger, changes, deficits, counters);
  }

  /**
   * Returns the amount that a shard may still start for a team; negative if the shard exceeds its
   * share.
   */
  public ResourceAmount available(String team, int shard) {
    return ledger.available(team, shard);
  }

  /** Returns the amount that a team may still start over all shards. */
  public ResourceAmount clusterHeadroom(String team) {
    return ledger.clusterHeadroom(team);
  }

  /**
   * Returns whether a start that a former owner of a shard committed must not be repeated, because
   * the tasks that may be on machines exceed the share. Counts each such answer.
   */
  public boolean withholdsRestart(String team, int shard) {
    boolean exceeded = ledger.isExceeded(team, shard);
    if (exceeded) {
      counters.count(QuotaCounters.Event.RUNS_WITHHELD);
    }
    return exceeded;
  }

  /**
   * Returns whether tasks of a team wait for quota that the end of a task in an owned shard would
   * free.
   */
  public boolean isShort(String team) {
    return deficits.containsAnywhere(team);
  }

  /** Returns the check that decides on starts again when they are committed. */
  public StartAdmission admission() {
    return new QuotaAdmission(ledger, deficits, counters);
  }

  /** Logs, at debug level, the quota figures by which tasks of a job were started in a shard. */
  public void logDecision(JobSpec spec, int shard, int tasks) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "quota charged job={} tasks={} team={} shard={} term={} share={} used={} pending={}"
              + " revision={}",
          spec.id(),
          tasks,
          spec.team(),
          shard,
          membership.term(shard),
          ledger.share(spec.team(), shard),
          ledger.usage(spec.team(), shard),
          ledger.pendingTransfer(spec.team(), shard),
          ledger.recordRevision(spec.team()));
    }
  }

  /** Returns the shares, usage and counts for the operators' status. */
  public Map<String, Object> status() {
    return QuotaStatus.of(settings, membership, ledger, counters);
  }

  /** Returns the number of violations found of a shard's share or of a team's limit. */
  public long violations() {
    return counters.get(QuotaCounters.Event.SHARE_VIOLATIONS)
        + counters.get(QuotaCounters.Event.RECORD_VIOLATIONS);
  }

  /**
   * Clears a shard's deficits and reservations, which the next scheduling cycle determines again.
   */
  public void beginCycle(int shard) {
    deficits.clear(shard);
    transfers.clearReservations(shard);
  }

  /** Adds an amount that a shard's share of a team lacks for tasks that machines have room for. */
  public void reportDeficit(String team, int shard, ResourceAmount amount) {
    deficits.add(team, shard, amount);
  }

  /** Reserves an amount for tasks that are to start once other tasks have stopped. */
  public void reserve(String team, int shard, ResourceAmount amount) {
    transfers.reserve(team, shard, amount);
  }

  /**
   * Applies the deficits that another controller announced for its shard. Ignores announcements for
   * shards that this controller owns, and announcements under another term than the current one,
   * such as those of an earlier owner.
   */
  public void onPeerMessage(PeerMessage message) {
    if (message.shard() >= membership.shardCount()
        || message.term() != membership.term(message.shard())
        || membership.ownedShards().contains(message.shard())) {
      return;
    }
    Map<String, ResourceAmount> deficitsByTeam = new HashMap<>();
    for (PeerMessage.QuotaDeficit deficit : message.deficits()) {
      deficitsByTeam.put(deficit.team(), deficitAmount(deficit));
    }
    deficits.replace(message.shard(), deficitsByTeam, nowMicros);
    nextMicros = 0;
  }

  private static ResourceAmount deficitAmount(PeerMessage.QuotaDeficit deficit) {
    return new ResourceAmount(
        ResourceUnits.ofThousandths(deficit.cpus()), ResourceUnits.ofThousandths(deficit.gpus()));
  }

  /** Announces deficits and changes shares, each when due. */
  public void tick(long currentMicros) {
    nowMicros = currentMicros;
    changes.tick(currentMicros);
    counters.tick(currentMicros);
    if (currentMicros < nextMicros || !stateStore.loaded()) {
      return;
    }
    monitor.tick(currentMicros);
    nextMicros = currentMicros + INTERVAL_MICROS;
    for (int shard : membership.ownedShards()) {
      announcer.announce(shard, currentMicros);
    }
    for (Settings.Team team : settings.teams().values()) {
      if (changes.permits(team.name())) {
        allocate(team);
      }
    }
  }

  private void allocate(Settings.Team team) {
    Optional<QuotaRecord> record = ledger.record(team.name());
    if (record.isEmpty()) {
      createRecord(team);
      return;
    }
    for (int shard : List.copyOf(membership.ownedShards())) {
      if (correction.correct(team, shard, record.get())) {
        return;
      }
    }
    for (int shard : List.copyOf(membership.ownedShards())) {
      transfers.transferFrom(team, shard, nowMicros);
    }
  }

  /**
   * Creates a team's record, with even shares whose sum is the limit. If shards already hold tasks
   * of the team, as when it had no limit until now, all shares are unproven, and each shard's owner
   * writes what its shard uses.
   */
  private void createRecord(Settings.Team team) {
    int shard = membership.homeShard();
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return;
    }
    int count = membership.shardCount();
    QuotaRecord record =
        ledger.isIdle(team.name())
            ? evenShares(team, count, ledger.shareUnit())
            : QuotaRecord.unproven(count);
    changes.create(team.name(), shard, record);
  }

  private static QuotaRecord evenShares(Settings.Team team, int count, long unit) {
    List<ResourceAmount> shares = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shares.add(
          new ResourceAmount(
              evenShare(team.cpusMax(), i, count, unit),
              evenShare(team.gpusMax(), i, count, unit)));
    }
    return QuotaRecord.of(shares);
  }

  /**
   * Returns a shard's part of a limit in whole thousandths. What remains of the limit beyond whole
   * thousandths belongs to the first shard, as far as the unit of shares allows.
   */
  private static long evenShare(long limit, int shard, int count, long unit) {
    long thousandths = limit / ResourceUnits.PER_THOUSANDTH;
    long remainder = limit % ResourceUnits.PER_THOUSANDTH / unit * unit;
    long part = thousandths * (shard + 1) / count - thousandths * shard / count;
    return ResourceUnits.ofThousandths(part) + (shard == 0 ? remainder : 0);
  }
}
