package gladeknot.quota;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Transfers quota from owned shards that can spare it to shards with a deficit. */
final class QuotaTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaTransfers.class);

  /** Interval between the turns of the shards that may cover the same deficit, in microseconds. */
  private static final long TURN_DELAY_MICROS = 250_000;

  private final Membership membership;
  private final QuotaLedger ledger;
  private final QuotaChanges changes;
  private final ShardDeficits deficits;
  private final QuotaCounters counters;
  private final Map<TeamShard, ResourceAmount> reserved = new HashMap<>();
  private final Map<TeamShard, Long> deficitSinceMicros = new HashMap<>();

  QuotaTransfers(
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

  /** Reserves an amount, which the shard then does not transfer. */
  void reserve(String team, int shard, ResourceAmount amount) {
    reserved.merge(new TeamShard(team, shard), amount, ResourceAmount::plus);
  }

  /** Clears the reservations of a shard. */
  void clearReservations(int shard) {
    reserved.keySet().removeIf(key -> key.shard() == shard);
  }

  /** Transfers quota of a team from an owned shard to the first other shard with a due deficit. */
  void transferFrom(Settings.Team team, int shard, long nowMicros) {
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return;
    }
    String name = team.name();
    ResourceAmount unreserved =
        ledger
            .available(name, shard)
            .minus(reserved.getOrDefault(new TeamShard(name, shard), ResourceAmount.NONE));
    ResourceAmount surplus = unreserved.minus(deficits.of(name, shard)).atLeastZero();
    for (int recipient = 0; recipient < membership.shardCount(); recipient++) {
      if (!isCurrent(recipient, nowMicros)
          || recipient == shard
          || !isDue(name, shard, recipient, nowMicros)) {
        continue;
      }
      // If the shard has a deficit, the unused remainder of its share is too small for any of its
      // own tasks. The remainder goes only to shards with lower numbers, so that it never moves in
      // circles.
      boolean unusable = deficits.contains(name, shard) && recipient < shard;
      ResourceAmount offered = unusable ? unreserved.atLeastZero() : surplus;
      ResourceAmount amount =
          ShareCorrection.limitedPart(team, transferable(offered, deficits.of(name, recipient)));
      if (amount.isPositive()) {
        transfer(name, shard, recipient, amount);
        return;
      }
    }
  }

  /** Returns the part of a deficit that an offer covers, in the unit of shares. */
  private ResourceAmount transferable(ResourceAmount offered, ResourceAmount deficit) {
    long unit = ledger.shareUnit();
    return offered.roundedDown(unit).min(deficit.roundedUp(unit));
  }

  /** Returns whether the known deficits of a shard are recent enough to act on. */
  private boolean isCurrent(int shard, long nowMicros) {
    return membership.ownedShards().contains(shard)
        || deficits.isAnnouncementValid(shard, nowMicros);
  }

  /**
   * Returns whether a shard has a deficit and it is the donor's turn to cover it. Donors take
   * turns, because simultaneous transfers would conflict over the team's single record.
   */
  private boolean isDue(String team, int donor, int shard, long nowMicros) {
    TeamShard key = new TeamShard(team, shard);
    if (!deficits.of(team, shard).isPositive()) {
      deficitSinceMicros.remove(key);
      return false;
    }
    long sinceMicros = deficitSinceMicros.computeIfAbsent(key, absent -> nowMicros);
    int turn = Math.floorMod(donor - shard - 1, membership.shardCount());
    return nowMicros - sinceMicros >= turn * TURN_DELAY_MICROS;
  }

  private void transfer(String team, int from, int to, ResourceAmount amount) {
    LOG.info(
        "quota transfer started team={} from_shard={} to_shard={} cpus={} gpus={} term={}"
            + " revision={}",
        team,
        from,
        to,
        amount.cpus(),
        amount.gpus(),
        membership.term(from),
        ledger.recordRevision(team));
    counters.count(QuotaCounters.Event.TRANSFERS_STARTED);
    QuotaRecord record = ledger.record(team).orElseThrow();
    QuotaRecord transferred =
        record.with(from, record.share(from).minus(amount)).with(to, record.share(to).plus(amount));
    deficits.remove(team, to);
    changes.shrink(team, from, transferred, amount);
  }
}
