package gladeknot.commit;

import gladeknot.state.Mutation;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * A change of one whole key, made on behalf of a shard.
 *
 * @param shard the owned shard; the revision of its key is a precondition of the transaction
 * @param mutation the operation on the key
 * @param preconditions the revisions that the change was decided on, by key
 * @param stillValid checked each time the change is added to a transaction; if it returns false,
 *     the change is dropped
 * @param callback receives the outcome
 */
public record KeyMutation(
    int shard,
    Mutation mutation,
    Map<String, Long> preconditions,
    BooleanSupplier stillValid,
    MutationCallback callback) {

  /** Creates a change that depends only on revisions. */
  public KeyMutation(
      int shard, Mutation mutation, Map<String, Long> preconditions, MutationCallback callback) {
    this(shard, mutation, preconditions, () -> true, callback);
  }

  /** Returns whether the change is conditional on the revision of any of the given keys. */
  boolean dependsOnAny(List<String> keys) {
    for (String key : keys) {
      if (preconditions.containsKey(key)) {
        return true;
      }
    }
    return false;
  }
}
