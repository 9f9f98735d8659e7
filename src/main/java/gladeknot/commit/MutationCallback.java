package gladeknot.commit;

/** Receives the outcome of one submitted mutation, once, when it is known. */
@FunctionalInterface
public interface MutationCallback {
  /**
   * The mutation's outcome is known.
   *
   * @param committed whether it was committed; if not, it was dropped without any effect, because
   *     what it was conditional on has changed or because the shard is no longer owned
   */
  void onOutcome(boolean committed);
}
