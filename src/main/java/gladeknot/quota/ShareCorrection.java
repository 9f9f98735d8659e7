package gladeknot.quota;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts right records whose shares don't add up to the team's limit: after the limit was changed, or
 * if a record is not what this program writes.
 *
 * <p>Each owner changes its own share alone, which no other may make smaller: an unproven share
 * becomes what the shard uses, a surplus over the limit is taken from what the shard does not use,
 * and what no shard has is taken by one with a deficit. Until the record bounds what the team uses,
 * {@link QuotaLedger} lets nothing start.
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

  /** Corrects an owned shard's share if it has to be; returns whether it did. */
  boolean correct(Settings.Team team, int shard, QuotaRecord record) {
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return false;
    }
    String name = team.name();
    if (!record.isProven(shard)) {
      ResourceAmount used = limited(team, ledger.usage(name, shard));
      note("prove", name, shard, record, used);
      changes.prove(name, shard, record.with(shard, used));
      return true;
    }
    if (!record.isProven()) {
      return false;
    }
    return shrink(team, shard, record) || grow(team, shard, record);
  }

  /** Takes from a share what the shares have beyond the limit and the shard does not use. */
  private boolean shrink(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount excess = limited(team, record.sum().minus(limit(team))).atLeastZero();
    if (!excess.isPositive()) {
      return false;
    }
    String name = team.name();
    ResourceAmount released = excess.min(ledger.unused(name, shard)).atLeastZero();
    if (!released.isPositive()) {
      return false;
    }
    note("shrink", name, shard, record, released);
    QuotaRecord shrunk = record.with(shard, record.share(shard).minus(released));
    changes.shrink(name, shard, shrunk, released);
    return true;
  }

  /** Adds to a share what it lacks and no shard has. */
  private boolean grow(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount unassigned = unassigned(team, shard, record);
    if (!unassigned.isPositive()) {
      return false;
    }
    String name = team.name();
    ResourceAmount taken = missing(name, shard).min(unassigned);
    if (!taken.isPositive()) {
      return false;
    }
    note("grow", name, shard, record, taken);
    changes.grow(name, shard, record.with(shard, record.share(shard).plus(taken)));
    return true;
  }

  /** What a shard's share lacks for what it uses already, or else for tasks that wait. */
  private ResourceAmount missing(String team, int shard) {
    ResourceAmount exceeded = ledger.unused(team, shard).negated();
    return exceeded.max(deficits.of(team, shard)).atLeastZero();
  }

  /** What neither the shares have nor, by their records, the tasks of other shards use. */
  private ResourceAmount unassigned(Settings.Team team, int shard, QuotaRecord record) {
    ResourceAmount left = limit(team).minus(record.sum());
    if (!limited(team, left).isPositive()) {
      return ResourceAmount.NONE;
    }
    for (int other = 0; other < membership.shardCount(); other++) {
      if (other != shard) {
        ResourceAmount used = ledger.usage(team.name(), other);
        left = left.minus(used.minus(record.share(other)).atLeastZero());
      }
    }
    return limited(team, left).atLeastZero();
  }

  private static ResourceAmount limit(Settings.Team team) {
    return new ResourceAmount(team.cpusMax(), team.gpusMax());
  }

  /** The part of an amount that the team has a limit of. */
  static ResourceAmount limited(Settings.Team team, ResourceAmount amount) {
    return new ResourceAmount(
        team.limitsCpus() ? amount.cpus() : 0, team.limitsGpus() ? amount.gpus() : 0);
  }

  /** Counts and logs a correction. */
  private void note(
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
