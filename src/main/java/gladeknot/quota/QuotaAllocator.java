package gladeknot.quota;

import gladeknot.commit.StartAdmission;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.JobSpec;
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
 * Divides the teams' limits among the shards. The sum of a team's shares never exceeds its limit; a
 * shard's share is made smaller by that shard's owner alone, who knows what is used, and what it
 * transfers goes to shards with a deficit.
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

  /** An allocator by the shares that the state store's copy shows. */
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

  /** What a shard may still start for a team; less than nothing if its share is exceeded. */
  public ResourceAmount available(String team, int shard) {
    return ledger.available(team, shard);
  }

  /** What a team may still start over all shards. */
  public ResourceAmount clusterHeadroom(String team) {
    return ledger.clusterHeadroom(team);
  }

  /**
   * Whether a start that a former owner of a shard committed is not to be repeated, as the tasks
   * that may be on machines exceed the share; counts that.
   */
  public boolean withholdsRestart(String team, int shard) {
    boolean exceeded = ledger.isExceeded(team, shard);
    if (exceeded) {
      counters.count(QuotaCounters.Event.RUNS_WITHHELD);
    }
    return exceeded;
  }

  /** Whether tasks of a team wait for quota that an end in an owned shard would make free. */
  public boolean isShort(String team) {
    return deficits.containsAnywhere(team);
  }

  /** What decides on starts again when they are committed. */
  public StartAdmission admission() {
    return new QuotaAdmission(ledger, deficits, counters);
  }

  /** Logs, for debugging, on what tasks of a job were started in a shard. */
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

  /** What an operator is shown: shares, usage and counts. */
  public Map<String, Object> status() {
    return QuotaStatus.of(settings, membership, ledger, counters);
  }

  /** How often the shard's or the record's bound was found violated. */
  public long violations() {
    return counters.get(QuotaCounters.Event.SHARE_VIOLATIONS)
        + counters.get(QuotaCounters.Event.RECORD_VIOLATIONS);
  }

  /** A new scheduling cycle of a shard begins: its deficits and reservations are found anew. */
  public void beginPass(int shard) {
    deficits.clear(shard);
    transfers.clearReservations(shard);
  }

  /** Adds what a shard's share of a team lacks for tasks that there are resources for. */
  public void reportDeficit(String team, int shard, ResourceAmount amount) {
    deficits.add(team, shard, amount);
  }

  /** Keeps an amount for tasks that will be started when others have stopped. */
  public void reserve(String team, int shard, ResourceAmount amount) {
    transfers.reserve(team, shard, amount);
  }

  /** Takes in the deficits of another controller's shard; those of an earlier owner are ignored. */
  public void onPeerMessage(PeerMessage message) {
    if (message.shard() >= membership.shardCount()
        || message.term() != membership.term(message.shard())
        || membership.ownedShards().contains(message.shard())) {
      return;
    }
    Map<String, ResourceAmount> byTeam = new HashMap<>();
    for (PeerMessage.QuotaDeficit deficit : message.deficits()) {
      byTeam.put(deficit.team(), new ResourceAmount(deficit.cpus(), deficit.gpus()));
    }
    deficits.replace(message.shard(), byTeam, nowMicros);
    nextMicros = 0;
  }

  /** Announces deficits and transfers quota when it is time. */
  public void tick(long now) {
    nowMicros = now;
    changes.tick(now);
    counters.tick(now);
    if (now < nextMicros || !stateStore.loaded()) {
      return;
    }
    monitor.tick(now);
    nextMicros = now + INTERVAL_MICROS;
    for (int shard : membership.ownedShards()) {
      announcer.announce(shard, now);
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
   * Creates a team's record, with even shares whose sum is the limit; without shares if tasks of
   * the team are on machines already, as when it had no limit until now: who uses how much is
   * written by the shards' owners then.
   */
  private void createRecord(Settings.Team team) {
    int shard = membership.homeShard();
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return;
    }
    int count = membership.shardCount();
    QuotaRecord record =
        ledger.isIdle(team.name()) ? evenShares(team, count) : QuotaRecord.unproven(count);
    changes.create(team.name(), shard, record);
  }

  private static QuotaRecord evenShares(Settings.Team team, int count) {
    List<ResourceAmount> shares = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shares.add(
          new ResourceAmount(
              evenShare(team.cpusMax(), i, count), evenShare(team.gpusMax(), i, count)));
    }
    return QuotaRecord.of(shares);
  }

  private static long evenShare(long limit, int shard, int count) {
    return limit * (shard + 1) / count - limit * shard / count;
  }
}
