package gladeknot.connectivity;

import java.util.Collection;
import java.util.Optional;

/** The shards, their owners and their workers, as the watch cache shows them. */
public interface ShardView {
  /** The address of a worker; the endpoint is null while unknown. */
  record WorkerAddress(String host, String zone, String endpoint) {}

  /** Returns the number of shards; shards are numbered from 0. */
  int shardCount();

  /** Returns the controller that owns a shard when no failover is in effect. */
  String homeNode(int shard);

  /** Returns the owner that the shard's key names, whether alive or not. */
  Optional<String> owner(int shard);

  /** Returns the owner's incarnation that the shard's key names. */
  long incarnation(int shard);

  /** Returns the term that the shard's key names. */
  long term(int shard);

  /**
   * Returns the highest term that an owned shard may have. It can exceed {@link #term} because a
   * write of the shard's key may have been executed and its answer lost.
   */
  long highestTerm(int shard);

  /** Returns whether this incarnation of this controller owns a shard. */
  boolean isOwned(int shard);

  /**
   * Stops all actions for an owned shard, under every term up to {@link #highestTerm}, until the
   * shard's key has changed.
   */
  void relinquish(int shard);

  /** Returns the workers of a shard. */
  Collection<WorkerAddress> workers(int shard);
}
