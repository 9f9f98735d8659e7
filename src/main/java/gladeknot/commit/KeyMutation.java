package gladeknot.commit;

import gladeknot.state.Mutation;
import java.util.List;
import java.util.Map;

/**
 * A change of one whole key, made on behalf of a shard.
 *
 * @param shard the owned shard; the transaction is conditional on its key as well
 * @param mutation the new value of the key
 * @param conditions the revisions that the change was decided on, by key
 * @param callback receives the outcome
 */
public record KeyMutation(
    int shard, Mutation mutation, Map<String, Long> conditions, MutationCallback callback) {

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
