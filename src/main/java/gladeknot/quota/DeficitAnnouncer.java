package gladeknot.quota;

import gladeknot.json.ResourceUnits;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Announces the deficits of the owned shards to the other controllers. */
final class DeficitAnnouncer {
  /**
   * Interval at which announcements of deficits that persist are repeated, in microseconds, because
   * announcements may get lost.
   */
  private static final long REPEAT_INTERVAL_MICROS = 1_000_000;

  private final String node;
  private final Membership membership;
  private final ShardDeficits deficits;
  private final Outbox outbox;
  private final Map<Integer, Map<String, ResourceAmount>> announced = new HashMap<>();
  private long nextRepeatMicros;

  DeficitAnnouncer(String node, Membership membership, ShardDeficits deficits, Outbox outbox) {
    this.node = node;
    this.membership = membership;
    this.deficits = deficits;
    this.outbox = outbox;
  }

  /** Announces the deficits of an owned shard if they have changed or a repetition is due. */
  void announce(int shard, long nowMicros) {
    Map<String, ResourceAmount> deficitsByTeam = deficits.ofShard(shard);
    boolean changed = !deficitsByTeam.equals(announced.get(shard));
    boolean repetitionDue = !deficitsByTeam.isEmpty() && nowMicros >= nextRepeatMicros;
    if (!changed && !repetitionDue) {
      return;
    }
    nextRepeatMicros = nowMicros + REPEAT_INTERVAL_MICROS;
    announced.put(shard, Map.copyOf(deficitsByTeam));
    List<PeerMessage.QuotaDeficit> announcement = new ArrayList<>();
    deficitsByTeam.forEach(
        (team, amount) ->
            announcement.add(
                new PeerMessage.QuotaDeficit(
                    team,
                    ResourceUnits.thousandthsRoundedUp(amount.cpus()),
                    ResourceUnits.thousandthsRoundedUp(amount.gpus()))));
    outbox.sendToPeers(PeerMessage.ofDeficits(node, shard, membership.term(shard), announcement));
  }
}
