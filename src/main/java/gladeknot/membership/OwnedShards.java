package gladeknot.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shards that this controller owns, with their terms. It must not act for the owned shards that
 * are being handed over, nor for those with a transaction in doubt.
 */
final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);

  private final ShardTable table;
  private final ShardListener listener;
  private final Set<Integer> owned = new HashSet<>();
  private final Set<Integer> handingOver = new HashSet<>();
  private final Set<Integer> inDoubt = new HashSet<>();
  private final long[] acquiredMicros;

  /** Term of this controller's newest write of each shard's key, answered or not. */
  private final long[] writtenTerm;

  /** Term up to which this controller has relinquished each shard. */
  private final long[] relinquishedTerm;

  /** Term that was last observed for each owned shard. */
  private final long[] observedTerm;

  OwnedShards(ShardTable table, ShardListener listener) {
    this.table = table;
    this.listener = listener;
    int shardCount = table.shardCount();
    this.acquiredMicros = new long[shardCount];
    this.writtenTerm = new long[shardCount];
    this.relinquishedTerm = new long[shardCount];
    this.observedTerm = new long[shardCount];
  }

  /** Returns a live view of the owned shards. */
  Set<Integer> all() {
    return owned;
  }

  boolean contains(int shard) {
    return owned.contains(shard);
  }

  /** Returns whether a shard is owned and neither being handed over nor relinquished. */
  boolean held(int shard) {
    return owned.contains(shard) && !handingOver.contains(shard);
  }

  /** Returns whether the outcome of a transaction for a shard is unknown. */
  boolean inDoubt(int shard) {
    return inDoubt.contains(shard);
  }

  /**
   * Returns whether a shard's key needs a new revision before this controller may act for the shard
   * again.
   */
  boolean needsNewRevision(int shard) {
    return inDoubt.contains(shard) || handingOver.contains(shard);
  }

  /** Returns when a shard was acquired or last got a new term, in microseconds. */
  long acquiredMicros(int shard) {
    return acquiredMicros[shard];
  }

  /** Records that a transaction for a shard got no answer; ignored if the shard is not owned. */
  void markInDoubt(int shard) {
    if (owned.contains(shard)) {
      inDoubt.add(shard);
    }
  }

  /** Records that the outcomes of all earlier transactions for a shard are known. */
  void clearDoubt(int shard) {
    inDoubt.remove(shard);
  }

  /**
   * Records that a transaction that hands a shard over was sent. This controller takes no action
   * for the shard until the outcome is known.
   */
  void beginHandover(int shard) {
    handingOver.add(shard);
  }

  /** Returns the highest term that a shard may have, including writes that got no answer. */
  long highestTerm(int shard) {
    return Math.max(table.term(shard), writtenTerm[shard]);
  }

  /** Stops acting for an owned shard under every term that the shard may have now. */
  void relinquish(int shard) {
    if (owned.contains(shard)) {
      handingOver.add(shard);
      relinquishedTerm[shard] = highestTerm(shard);
    }
  }

  /**
   * Returns the term for the next write of a shard's key and records it as written. It is above the
   * last drawn term and above the relinquished terms.
   */
  long nextTerm(int shard, long lastDrawnTerm) {
    writtenTerm[shard] = 1 + Math.max(lastDrawnTerm, relinquishedTerm[shard]);
    return writtenTerm[shard];
  }

  /**
   * Records that this controller's write of a shard's key was committed. A shard that was
   * relinquished while the write was in transit stays relinquished, because the node in whose
   * favour it was relinquished may take it under the written term.
   */
  void onWritten(int shard, long term) {
    if (term > relinquishedTerm[shard]) {
      handingOver.remove(shard);
    }
  }

  /**
   * Compares the term of a shard whose key names this controller with the terms that this
   * controller last observed and wrote. If the term differs from both, another node may have owned
   * the shard in between, and the shard is released.
   */
  void observeTerm(int shard) {
    long term = table.term(shard);
    boolean unknownTerm = term != observedTerm[shard] && term != writtenTerm[shard];
    if (owned.contains(shard) && unknownTerm) {
      release(shard);
    }
    observedTerm[shard] = term;
  }

  /**
   * Records that a shard is owned now, or that its transactions are no longer in doubt. Returns
   * whether the shard was not owned before.
   */
  boolean acquire(int shard, long nowMicros) {
    boolean newlyOwned = owned.add(shard);
    acquiredMicros[shard] = nowMicros;
    LOG.info("shard acquired shard={} term={} new={}", shard, table.term(shard), newlyOwned);
    listener.onAcquired(shard);
    return newlyOwned;
  }

  /** Records that a shard is no longer owned; does nothing if it was not owned. */
  void release(int shard) {
    if (owned.remove(shard)) {
      handingOver.remove(shard);
      inDoubt.remove(shard);
      LOG.info("shard released shard={}", shard);
      listener.onReleased(shard);
    }
  }

  void releaseAll() {
    List.copyOf(owned).forEach(this::release);
  }
}
