package gladeknot.quota;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Corrects records whose shares don't add up to the team's limit, because the limit was changed or
 * the record was not written by this program.
 *
 * <p>Each owner changes only the share of its own shard, and no other controller may make that
 * share smaller. An unproven share becomes what the shard uses. A surplus over the limit is taken
 * from what the shard does not use. Quota that is assigned to no shard is taken by a shard with a
 * deficit. Until the record bounds what the team uses, {@link QuotaLedger} permits no starts.
 */
final class ShareCorrection {
  private static final Logger LOG = LoggerFactory.getLogger(ShareCorrection.class);

  private final Membership membership;
  private final QuotaLedger ledger;
  private final QuotaChanges changes;
  private final ShardDeficits deficits;
  private final QuotaCounters counters;

  ShareCorrection(
      Membership membership,
      QuotaLedger ledger,
      QuotaChanges changes,
      ShardDeficits deficits,
      QuotaCounters counters) {
    this.membership = membership;
    this.ledger = ledger;
    this.changes = changes;
    this.deficits = deficits;
    this.counters = counters;
  }

  /** Corrects an owned shard's share if necessary. Returns whether it did. */
  boolean correct(Settings.Team team, int shard, QuotaRecord record) {
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return false;
    }
    String name = team.name();
    if (!record.isProven(shard)) {
      ResourceAmount usage =
          limitedPart(team, ledger.usage(name, shard)).roundedUp(ledger.shareUnit());
      countAndLog("prove", name, shard, record, usage);
      changes.prove(name, shard, record.with(shard, usage));
      return true;
    }
    if (!record.isProven()) {
      return false;
    }
    return shrink(team, shard, record) || grow(team, shard, record);
  }

  /**
   * Reduces a share by the excess of the shares over the limit, at most by what the shard does not
   * use.
   */
  private boolean shrink(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount excess = limitedPart(team, record.sum().minus(limit(team))).atLeastZero();
    if (!excess.isPositive()) {
      return false;
    }
    String name = team.name();
    long unit = ledger.shareUnit();
    ResourceAmount unused = ledger.unused(name, shard).roundedDown(unit);
    ResourceAmount reduction = excess.roundedUp(unit).min(unused).atLeastZero();
    if (!reduction.isPositive()) {
      return false;
    }
    countAndLog("shrink", name, shard, record, reduction);
    QuotaRecord shrunk = record.with(shard, record.share(shard).minus(reduction));
    changes.shrink(name, shard, shrunk, reduction);
    return true;
  }

  /** Increases a share by what it lacks, at most by what is assigned to no shard. */
  private boolean grow(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount unassigned = unassigned(team, shard, record);
    if (!unassigned.isPositive()) {
      return false;
    }
    String name = team.name();
    long unit = ledger.shareUnit();
    ResourceAmount increase =
        shortfall(name, shard).roundedUp(unit).min(unassigned.roundedDown(unit));
    if (!increase.isPositive()) {
      return false;
    }
    countAndLog("grow", name, shard, record, increase);
    changes.grow(name, shard, record.with(shard, record.share(shard).plus(increase)));
    return true;
  }

  /** Returns what a share lacks for current usage or for pending tasks, whichever is larger. */
  private ResourceAmount shortfall(String team, int shard) {
    ResourceAmount exceeded = ledger.unused(team, shard).negated();
    return exceeded.max(deficits.of(team, shard)).atLeastZero();
  }

  /**
   * Returns the part of the limit that is in no share, less what the records show other shards to
   * use beyond their shares.
   */
  private ResourceAmount unassigned(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount remaining = limit(team).minus(record.sum());
    if (!limitedPart(team, remaining).isPositive()) {
      return ResourceAmount.NONE;
    }
    for (int other = 0; other < membership.shardCount(); other++) {
      if (other != shard) {
        ResourceAmount usage = ledger.usage(team.name(), other);
        remaining = remaining.minus(usage.minus(record.share(other)).atLeastZero());
      }
    }
    return limitedPart(team, remaining).atLeastZero();
  }

  private static ResourceAmount limit(Settings.Team team) {
    return new ResourceAmount(team.cpusMax(), team.gpusMax());
  }

  /** Returns an amount with zero for each resource that the team has no limit of. */
  static ResourceAmount limitedPart(Settings.Team team, ResourceAmount amount) {
    return new ResourceAmount(
        team.limitsCpus() ? amount.cpus() : 0, team.limitsGpus() ? amount.gpus() : 0);
  }

  /** Counts and logs a correction. */
  private void countAndLog(
      String kind, String team, int shard, QuotaRecord record, ResourceAmount amount) {
    counters.count(QuotaCounters.Event.CORRECTIONS);
    LOG.info(
        "quota share corrected kind={} team={} shard={} term={} cpus={} gpus={} sum_cpus={}"
            + " sum_gpus={} revision={}",
        kind,
        team,
        shard,
        membership.term(shard),
        amount.cpus(),
        amount.gpus(),
        record.sum().cpus(),
        record.sum().gpus(),
        ledger.recordRevision(team));
  }
}
