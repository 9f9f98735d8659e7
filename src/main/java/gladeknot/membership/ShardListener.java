package gladeknot.membership;

/** Receives notice when this controller acquires or releases a shard. */
public interface ShardListener {
  /**
   * Called when the shard is owned under a new term, or when the outcome of a transaction in doubt
   * is settled. The shard's records have to be read again.
   */
  void onAcquired(int shard);

  /** Called when the shard is no longer owned. */
  void onReleased(int shard);

  /** Returns whether most of a shard's workers sent no heartbeat for the heartbeat timeout. */
  boolean mostWorkersTimedOut(int shard);
}
