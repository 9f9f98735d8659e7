package gladeknot.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shards that this controller owns, under which terms, and which of them it must not act for:
 * those on their way to another owner, and those with a transaction in doubt.
 */
final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);

  private final ShardTable table;
  private final ShardListener listener;
  private final Set<Integer> owned = new HashSet<>();
  private final Set<Integer> handingOver = new HashSet<>();
  private final Set<Integer> inDoubt = new HashSet<>();
  private final long[] sinceMicros;

  /** By shard: the term of this controller's newest write of its key, answered or not. */
  private final long[] writtenTerm;

  /** By shard: the term up to which this controller has relinquished it. */
  private final long[] relinquishedTerm;

  /** By owned shard: the term that was observed last. */
  private final long[] observedTerm;

  OwnedShards(ShardTable table, ShardListener listener) {
    this.table = table;
    this.listener = listener;
    int shards = table.shardCount();
    this.sinceMicros = new long[shards];
    this.writtenTerm = new long[shards];
    this.relinquishedTerm = new long[shards];
    this.observedTerm = new long[shards];
  }

  /** A live view of the owned shards. */
  Set<Integer> all() {
    return owned;
  }

  boolean contains(int shard) {
    return owned.contains(shard);
  }

  /** Whether a shard is owned and not on its way to another owner. */
  boolean held(int shard) {
    return owned.contains(shard) && !handingOver.contains(shard);
  }

  /** Whether the outcome of a transaction for a shard is unknown. */
  boolean inDoubt(int shard) {
    return inDoubt.contains(shard);
  }

  /** Whether a shard's key needs a new revision before this controller may act for it again. */
  boolean needsNewRevision(int shard) {
    return inDoubt.contains(shard) || handingOver.contains(shard);
  }

  /** Since when a shard has been owned. */
  long sinceMicros(int shard) {
    return sinceMicros[shard];
  }

  /** A transaction for an owned shard got no answer. */
  void markInDoubt(int shard) {
    if (owned.contains(shard)) {
      inDoubt.add(shard);
    }
  }

  /** Nothing of former transactions is in doubt any more. */
  void clearDoubt(int shard) {
    inDoubt.remove(shard);
  }

  /** A transaction that hands the shard over is sent: no action for it until the outcome. */
  void beginHandOver(int shard) {
    handingOver.add(shard);
  }

  /** The highest term that a shard may have, counting writes that got no answer. */
  long highestTerm(int shard) {
    return Math.max(table.term(shard), writtenTerm[shard]);
  }

  /** Stops acting for an owned shard under every term that it may have now. */
  void relinquish(int shard) {
    if (owned.contains(shard)) {
      handingOver.add(shard);
      relinquishedTerm[shard] = highestTerm(shard);
    }
  }

  /** The term for a write of a shard's key, above those drawn and those relinquished. */
  long nextTerm(int shard, long lastDrawn) {
    writtenTerm[shard] = 1 + Math.max(lastDrawn, relinquishedTerm[shard]);
    return writtenTerm[shard];
  }

  /**
   * This controller's write of a shard's key was committed. A shard that was relinquished while the
   * write was on its way stays so: the node in whose favour may take it under this term.
   */
  void onWritten(int shard, long term) {
    if (term > relinquishedTerm[shard]) {
      handingOver.remove(shard);
    }
  }

  /**
   * Compares the term of a shard whose key names this controller with those it knows: under an
   * unknown term the shard may have been another's meanwhile, and is released.
   */
  void observeTerm(int shard) {
    long term = table.term(shard);
    boolean unknown = term != observedTerm[shard] && term != writtenTerm[shard];
    if (owned.contains(shard) && unknown) {
      release(shard);
    }
    observedTerm[shard] = term;
  }

  /** A shard is owned now, or its doubts are settled; returns whether it was not owned before. */
  boolean acquire(int shard, long nowMicros) {
    boolean added = owned.add(shard);
    sinceMicros[shard] = nowMicros;
    LOG.info("shard acquired shard={} term={} new={}", shard, table.term(shard), added);
    listener.onAcquired(shard);
    return added;
  }

  /** A shard is not owned any more; nothing happens if it was not. */
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
