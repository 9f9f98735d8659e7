package gladeknot.quota;

import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Announces the deficits of the owned shards to the other controllers. */
final class DeficitAnnouncer {
  /** Announcements may get lost: those of deficits that last are repeated after this. */
  private static final long REPEAT_MICROS = 1_000_000;

  private final String node;
  private final Membership membership;
  private final ShardDeficits deficits;
  private final Outbox outbox;
  private final Map<Integer, Map<String, ResourceAmount>> announced = new HashMap<>();
  private long repeatAtMicros;

  DeficitAnnouncer(String node, Membership membership, ShardDeficits deficits, Outbox outbox) {
    this.node = node;
    this.membership = membership;
    this.deficits = deficits;
    this.outbox = outbox;
  }

  /** Announces the deficits of an owned shard if they have changed, or last and are due again. */
  void announce(int shard, long nowMicros) {
    Map<String, ResourceAmount> byTeam = deficits.ofShard(shard);
    boolean changed = !byTeam.equals(announced.get(shard));
    boolean repeat = !byTeam.isEmpty() && nowMicros >= repeatAtMicros;
    if (!changed && !repeat) {
      return;
    }
    repeatAtMicros = nowMicros + REPEAT_MICROS;
    announced.put(shard, Map.copyOf(byTeam));
    List<PeerMessage.QuotaDeficit> message = new ArrayList<>();
    byTeam.forEach(
        (team, amount) ->
            message.add(new PeerMessage.QuotaDeficit(team, amount.cpus(), amount.gpus())));
    outbox.sendToPeers(PeerMessage.ofDeficits(node, shard, membership.term(shard), message));
  }
}
