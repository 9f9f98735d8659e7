package gladeknot.membership;

/**
 * A stored lease delegation.
 *
 * @param delegate the node that renews the leases of the shard's workers; null if the stored record
 *     is malformed
 * @param term the shard's term for which the delegation was entered
 */
record DelegationRecord(String delegate, long term) {}
