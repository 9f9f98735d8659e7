package gladeknot.app;

import gladeknot.connectivity.ShardView;
import gladeknot.membership.Membership;
import gladeknot.workers.WorkerRegistry;
import java.util.Collection;
import java.util.Optional;

/** Gives the connectivity monitor a view of shards and workers, which belong to higher packages. */
final class CachedShardView implements ShardView {
  private final Membership membership;
  private final WorkerRegistry workers;

  CachedShardView(Membership membership, WorkerRegistry workers) {
    this.membership = membership;
    this.workers = workers;
  }

  @Override
  public int shardCount() {
    return membership.shardCount();
  }

  @Override
  public String homeNode(int shard) {
    return membership.homeNode(shard);
  }

  @Override
  public Optional<String> owner(int shard) {
    return membership.owner(shard);
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
  public void relinquish(int shard) {
    membership.relinquish(shard);
  }

  @Override
  public Collection<WorkerAddress> workers(int shard) {
    return workers.inShard(shard).stream()
        .map(worker -> new WorkerAddress(worker.host(), worker.zone(), worker.endpoint()))
        .toList();
  }
}
