package gladeknot.app;

import gladeknot.connectivity.ShardView;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.workers.WorkerRegistry;
import java.util.Collection;

/** Shards and their workers as membership and the copy of the state show them. */
final class CachedShardView implements ShardView {
  private final Settings settings;
  private final Membership membership;
  private final WorkerRegistry workers;

  CachedShardView(Settings settings, Membership membership, WorkerRegistry workers) {
    this.settings = settings;
    this.membership = membership;
    this.workers = workers;
  }

  @Override
  public int shardCount() {
    return membership.shardCount();
  }

  @Override
  public String home(int shard) {
    return settings.nodes().get(shard);
  }

  @Override
  public String owner(int shard) {
    return membership.owner(shard).orElse(null);
  }

  @Override
  public long incarnation(int shard) {
    return membership.incarnation(shard);
  }

  @Override
  public long term(int shard) {
    return membership.term(shard);
  }

  @Override
  public long highestTerm(int shard) {
    return membership.highestTerm(shard);
  }

  @Override
  public boolean isOwned(int shard) {
    return membership.ownedShards().contains(shard);
  }

  @Override
  public void yield(int shard) {
    membership.relinquish(shard);
  }

  @Override
  public Collection<WorkerAddress> workers(int shard) {
    return workers.inShard(shard).stream()
        .map(w -> new WorkerAddress(w.host(), w.zone(), w.endpoint()))
        .toList();
  }
}
