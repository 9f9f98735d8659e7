package gladeknot.membership;

/**
 * The stored record of a shard.
 *
 * @param owner the node that owns the shard, alive or not; null if it never had an owner
 * @param incarnation the owner's incarnation, which is the number of its state lease
 * @param term the term under which the owner owns the shard; each change of the record draws a
 *     higher one
 */
record ShardRecord(String owner, long incarnation, long term) {
  /** A shard that never had an owner. */
  static final ShardRecord UNOWNED = new ShardRecord(null, 0, 0);

  boolean hasOwner() {
    return owner != null;
  }

  /** Returns whether the owner is the given incarnation of a node. */
  boolean isOwnedBy(String node, long nodeIncarnation) {
    return node.equals(owner) && incarnation == nodeIncarnation;
  }
}
