package gladeknot.commit;

import gladeknot.state.Mutation;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * A change of one whole key, made on behalf of a shard.
 *
 * @param shard the owned shard; the transaction is conditional on its key as well
 * @param mutation the new value of the key
 * @param conditions the revisions that the change was decided on, by key
 * @param stillHolds is asked each time the change is about to be sent; if not, it is dropped
 * @param callback receives the outcome
 */
public record KeyMutation(
    int shard,
    Mutation mutation,
    Map<String, Long> conditions,
    BooleanSupplier stillHolds,
    MutationCallback callback) {

  /** A change that depends on nothing but the revisions. */
  public KeyMutation(
      int shard, Mutation mutation, Map<String, Long> conditions, MutationCallback callback) {
    this(shard, mutation, conditions, () -> true, callback);
  }

  /** Whether it was decided on the revision of one of some keys. */
  boolean reliesOnAny(List<String> keys) {
    for (String key : keys) {
      if (conditions.containsKey(key)) {
        return true;
      }
    }
    return false;
  }
}
