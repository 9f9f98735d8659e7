package gladeknot.membership;

/**
 * A stored lease delegation.
 *
 * @param delegate the node that renews the leases of the shard's workers; null if malformed
 * @param term the shard's term for which it does so
 */
record DelegationRecord(String delegate, long term) {}
