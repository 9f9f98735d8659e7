package gladeknot.quota;

import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
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

/**
 * Divides the teams' limits among the shards. The sum of a team's shares never exceeds its limit; a
 * shard's share is made smaller by that shard's owner alone, who knows what is used, and what it
 * transfers goes to shards with a deficit.
 */
public final class QuotaAllocator {
  private static final long INTERVAL_MICROS = 150_000;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final QuotaBalance balance;
  private final QuotaChanges changes;
  private final ShardDeficits deficits = new ShardDeficits();
  private final DeficitAnnouncer announcer;
  private final QuotaTransfers transfers;
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
    this.balance = new QuotaBalance(settings, stateStore, membership, slices);
    this.changes = new QuotaChanges(stateStore, committer, balance);
    this.announcer = new DeficitAnnouncer(settings.node(), membership, deficits, outbox);
    this.transfers = new QuotaTransfers(membership, balance, changes, deficits);
  }

  /** What a shard's tasks of a team use; every task that may still be on a machine counts. */
  public ResourceAmount usage(String team, int shard) {
    return balance.usage(team, shard);
  }

  /** What a shard may still start for a team; less than nothing if its share is exceeded. */
  public ResourceAmount available(String team, int shard) {
    return balance.available(team, shard);
  }

  /** What a team may still start over all shards. */
  public ResourceAmount clusterHeadroom(String team) {
    return balance.clusterHeadroom(team);
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
    if (now < nextMicros || !stateStore.loaded()) {
      return;
    }
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
    if (!balance.isAllocated(team.name())) {
      divideEvenly(team);
      return;
    }
    for (int shard : List.copyOf(membership.ownedShards())) {
      transfers.transferFrom(team, shard, nowMicros);
    }
  }

  /** Creates a team's record, with even shares whose sum is the limit. */
  private void divideEvenly(Settings.Team team) {
    int shard = membership.homeShard();
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return;
    }
    int count = membership.shardCount();
    List<ResourceAmount> shares = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shares.add(
          new ResourceAmount(
              evenShare(team.cpusMax(), i, count), evenShare(team.gpusMax(), i, count)));
    }
    changes.commit(team.name(), shard, shares, ResourceAmount.NONE);
  }

  private static long evenShare(long limit, int shard, int count) {
    return limit * (shard + 1) / count - limit * shard / count;
  }
}
