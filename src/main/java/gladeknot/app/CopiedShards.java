package gladeknot.app;

import gladeknot.connectivity.ShardView;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.workers.WorkerRegistry;
import java.util.Collection;

/** Shards and their workers as membership and the copy of the state show them. */
final class CopiedShards implements ShardView {
  private final Settings settings;
  private final Membership membership;
  private final WorkerRegistry workers;

  CopiedShards(Settings settings, Membership membership, WorkerRegistry workers) {
    this.settings = settings;
    this.membership = membership;
    this.workers = workers;
  }

  @Override
  public int shards() {
    return membership.shards();
  }

  @Override
  public String home(int shard) {
    return settings.nodes().get(shard);
  }

  @Override
  public String owner(int shard) {
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
  public long mostTerm(int shard) {
    return membership.mostTerm(shard);
  }

  @Override
  public boolean ours(int shard) {
    return membership.owned().contains(shard);
  }

  @Override
  public void yield(int shard) {
    membership.relinquish(shard);
  }

  @Override
  public Collection<WorkerAddress> workers(int shard) {
    return workers.of(shard).stream()
        .map(w -> new WorkerAddress(w.host(), w.zone(), w.endpoint()))
        .toList();
  }
}
