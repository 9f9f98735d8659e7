package gladeknot.state;

import java.util.Map;

/**
 * One put or delete of a transaction.
 *
 * @param key the full key
 * @param data the object to store, or null to delete the key
 * @param leaseId the lease of the state service that the key is attached to, or 0 for none
 */
public record Mutation(String key, Map<String, Object> data, long leaseId) {
  /** Stores an object under a key that is attached to no lease. */
  public static Mutation put(String key, Map<String, Object> data) {
    return new Mutation(key, data, 0);
  }

  /** Removes a key. */
  public static Mutation delete(String key) {
    return new Mutation(key, null, 0);
  }

  /** Whether the key is removed rather than written. */
  boolean isDelete() {
    return data == null;
  }
}
