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
  /** Returns a mutation that stores an object under a key without a lease. */
  public static Mutation put(String key, Map<String, Object> data) {
    return new Mutation(key, data, 0);
  }

  /** Returns a mutation that deletes a key. */
  public static Mutation delete(String key) {
    return new Mutation(key, null, 0);
  }

  /** Returns whether the mutation deletes the key. */
  boolean isDelete() {
    return data == null;
  }
}
