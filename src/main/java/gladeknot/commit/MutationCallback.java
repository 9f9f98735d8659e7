package gladeknot.commit;

/** Receives the outcome of one submitted mutation, once, when it is known. */
@FunctionalInterface
public interface MutationCallback {
  /**
   * Called once the mutation's outcome is known.
   *
   * @param committed whether the mutation was committed; if not, it was dropped without any effect,
   *     because one of its preconditions no longer held or because the shard is no longer owned
   */
  void onOutcome(boolean committed);
}
