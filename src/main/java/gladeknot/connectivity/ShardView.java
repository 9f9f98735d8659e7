package gladeknot.connectivity;

import java.util.Collection;

/** What is known of shards, their owners and their workers, by the copy of the state. */
public interface ShardView {
  /** A worker as far as it is needed to reach it; the endpoint may be unknown, and null. */
  record WorkerAddress(String host, String zone, String endpoint) {}

  int shardCount();

  /** The controller that a shard belongs to while all is well. */
  String home(int shard);

  /** The owner by the shard's key, alive or not; null if there is none. */
  String owner(int shard);

  /** The owner's incarnation by the shard's key. */
  long incarnation(int shard);

  /** The term by the shard's key. */
  long term(int shard);

  /**
   * The highest term that a shard of ours may have: a write by which we took it may have been
   * carried out, and its answer lost.
   */
  long highestTerm(int shard);

  /** Whether a shard is ours in this life of the process. */
  boolean isOwned(int shard);

  /**
   * Stops everything that is done for a shard of ours, under every term up to {@link #highestTerm},
   * until its key has changed.
   */
  void yield(int shard);

  /** The workers of a shard. */
  Collection<WorkerAddress> workers(int shard);
}
