package gladeknot.quota;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks while the controller runs that each owned shard uses no more than its share, and that a
 * team's shares are proven and add up to no more than the limit. A violation is logged once, with
 * all figures, and counted. {@link QuotaLedger} permits no starts until the violation has ended.
 */
final class QuotaMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaMonitor.class);
  private static final long CHECK_INTERVAL_MICROS = 500_000;

  private final Settings settings;
  private final Membership membership;
  private final QuotaLedger ledger;
  private final QuotaCounters counters;
  private final Set<TeamShard> exceededShares = new HashSet<>();
  private final Set<String> violatedRecords = new HashSet<>();
  private long nextCheckMicros;

  QuotaMonitor(
      Settings settings, Membership membership, QuotaLedger ledger, QuotaCounters counters) {
    this.settings = settings;
    this.membership = membership;
    this.ledger = ledger;
    this.counters = counters;
  }

  /** Checks all teams in all owned shards if a check is due. */
  void tick(long nowMicros) {
    if (nowMicros < nextCheckMicros) {
      return;
    }
    nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
    for (Settings.Team team : settings.teams().values()) {
      ledger.record(team.name()).ifPresent(record -> checkRecord(team, record));
      for (int shard = 0; shard < membership.shardCount(); shard++) {
        // While the outcome of a transaction is unknown, the slices in memory may differ from the
        // stored ones.
        if (membership.permits(ControlAction.COMMIT, shard)) {
          checkShare(team.name(), shard);
        }
      }
    }
  }

  private void checkRecord(Settings.Team team, QuotaRecord record) {
    if (record.boundsCpus(team) && record.boundsGpus(team)) {
      violatedRecords.remove(team.name());
    } else if (violatedRecords.add(team.name())) {
      counters.count(QuotaCounters.Event.RECORD_VIOLATIONS);
      LOG.error(
          "quota record violated team={} proven={} sum_cpus={} cpus_max={} sum_gpus={} gpus_max={}"
              + " revision={}",
          team.name(),
          record.isProven(),
          record.sum().cpus(),
          team.cpusMax(),
          record.sum().gpus(),
          team.gpusMax(),
          ledger.recordRevision(team.name()));
    }
  }

  private void checkShare(String team, int shard) {
    ResourceAmount share = ledger.share(team, shard);
    ResourceAmount used = ledger.usage(team, shard);
    TeamShard key = new TeamShard(team, shard);
    if (used.minus(share).isAtMostZero()) {
      exceededShares.remove(key);
    } else if (exceededShares.add(key)) {
      counters.count(QuotaCounters.Event.SHARE_VIOLATIONS);
      ResourceAmount live = ledger.liveUsage(team, shard);
      ResourceAmount pending = ledger.pendingTransfer(team, shard);
      LOG.error(
          "quota share violated team={} shard={} term={} used_cpus={} share_cpus={} used_gpus={}"
              + " share_gpus={} live_cpus={} live_gpus={} pending_cpus={} pending_gpus={}"
              + " revision={}",
          team,
          shard,
          membership.term(shard),
          used.cpus(),
          share.cpus(),
          used.gpus(),
          share.gpus(),
          live.cpus(),
          live.gpus(),
          pending.cpus(),
          pending.gpus(),
          ledger.recordRevision(team));
    }
  }
}
