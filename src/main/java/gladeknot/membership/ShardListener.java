package gladeknot.membership;

/** Is notified when this controller starts and stops owning a shard. */
public interface ShardListener {
  /**
   * The shard is owned under a new term, or again after an unclear transaction: its records have to
   * be read anew.
   */
  void onAcquired(int shard);

  /** The shard is not owned any more. */
  void onReleased(int shard);

  /** Whether no heartbeat has come from most of a shard's workers for the heartbeat timeout. */
  boolean mostWorkersTimedOut(int shard);
}
