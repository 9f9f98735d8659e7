package gladeknot.membership;

import gladeknot.state.StateStore;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which shards are ours, which of these we may not act for just now, and under which terms. */
final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);

  private final StateStore stateStore;
  private final Membership.Listener listener;
  private final Set<Integer> owned = new HashSet<>();
  private final Set<Integer> yielding = new HashSet<>();
  private final Set<Integer> inDoubt = new HashSet<>();
  private final long[] sinceMicros;

  /** By shard: the term of our newest write of its key, answered or not. */
  private final long[] writtenTerm;

  /** By shard: the term up to which we have relinquished it. */
  private final long[] relinquishedTerm;

  /** By shard of ours: the term under which it was looked at last. */
  private final long[] seenTerm;

  OwnedShards(int shards, StateStore stateStore, Membership.Listener listener) {
    this.stateStore = stateStore;
    this.listener = listener;
    this.sinceMicros = new long[shards];
    this.writtenTerm = new long[shards];
    this.relinquishedTerm = new long[shards];
    this.seenTerm = new long[shards];
  }

  Set<Integer> all() {
    return owned;
  }

  boolean contains(int shard) {
    return owned.contains(shard);
  }

  /** Whether a shard is ours and not on its way to another. */
  boolean held(int shard) {
    return owned.contains(shard) && !yielding.contains(shard);
  }

  boolean inDoubt(int shard) {
    return inDoubt.contains(shard);
  }

  /** Whether a shard's key needs a new stamp before we may go on with it. */
  boolean needsNewStamp(int shard) {
    return inDoubt.contains(shard) || yielding.contains(shard);
  }

  long sinceMicros(int shard) {
    return sinceMicros[shard];
  }

  /** A commit for a shard of ours got no answer. */
  void doubt(int shard) {
    if (owned.contains(shard)) {
      inDoubt.add(shard);
    }
  }

  /** From now until the outcome is known nothing is done for a shard that is given to another. */
  void beginYielding(int shard) {
    yielding.add(shard);
  }

  /** The highest term that a shard may have, by what was written without an answer. */
  long mostTerm(int shard) {
    return Math.max(Membership.term(stateStore, shard), writtenTerm[shard]);
  }

  /** Stops acting for a shard of ours under every term that it may have now. */
  void relinquish(int shard) {
    if (owned.contains(shard)) {
      yielding.add(shard);
      relinquishedTerm[shard] = mostTerm(shard);
    }
  }

  /** The term for a write of a shard's key, above those drawn and those relinquished. */
  long nextTerm(int shard, long drawn) {
    writtenTerm[shard] = 1 + Math.max(drawn, relinquishedTerm[shard]);
    return writtenTerm[shard];
  }

  /**
   * Our write of a shard's key was carried out. What was relinquished while it was on its way stays
   * so: whom it was yielded to may take it under this term.
   */
  void wrote(int shard, long term) {
    if (term > relinquishedTerm[shard]) {
      yielding.remove(shard);
    }
  }

  /** Nothing of former commits is in doubt any more. */
  void settled(int shard) {
    inDoubt.remove(shard);
  }

  /** Looks at the term of a shard that is ours by its key; it may have been another's meanwhile. */
  void look(int shard) {
    long term = Membership.term(stateStore, shard);
    boolean skipped = term != seenTerm[shard] && term != writtenTerm[shard];
    if (owned.contains(shard) && skipped) {
      drop(shard);
    }
    seenTerm[shard] = term;
  }

  /** A shard has become ours, or its doubts are settled; returns whether it was not ours before. */
  boolean gain(int shard, long nowMicros) {
    boolean added = owned.add(shard);
    sinceMicros[shard] = nowMicros;
    listener.onAcquired(shard);
    return added;
  }

  void drop(int shard) {
    if (owned.remove(shard)) {
      yielding.remove(shard);
      inDoubt.remove(shard);
      LOG.info("shard {} is no longer ours", shard);
      listener.onReleased(shard);
    }
  }

  void dropAll() {
    List.copyOf(owned).forEach(this::drop);
  }
}
