package gladeknot.connectivity;

import java.util.Collection;
import java.util.Optional;

/** The shards, their owners and their workers, by the watch cache. */
public interface ShardView {
  /** How a worker is reached; the endpoint is null while it is unknown. */
  record WorkerAddress(String host, String zone, String endpoint) {}

  /** How many shards there are; they are numbered from 0. */
  int shardCount();

  /** The controller that owns a shard while all is well. */
  String homeNode(int shard);

  /** The owner by the shard's key, alive or not. */
  Optional<String> owner(int shard);

  /** The owner's incarnation by the shard's key. */
  long incarnation(int shard);

  /** The term by the shard's key. */
  long term(int shard);

  /**
   * The highest term that an owned shard may have: a write of its key may have been executed, and
   * its answer lost.
   */
  long highestTerm(int shard);

  /** Whether this incarnation of this controller owns a shard. */
  boolean isOwned(int shard);

  /**
   * Stops all action for an owned shard, under every term up to {@link #highestTerm}, until its key
   * has changed.
   */
  void relinquish(int shard);

  /** The workers of a shard. */
  Collection<WorkerAddress> workers(int shard);
}
