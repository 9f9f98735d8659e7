/**
 * Team limits as quota shares of the shards.
 *
 * <p>A team's limit is divided among the shards in one record for each team; the sum of the shares
 * never exceeds the limit. Only the owner of a shard, which knows what is used of its share, makes
 * that share smaller, and transfers what it can spare to shards with a deficit. {@link
 * gladeknot.quota.QuotaAllocator} is the entry; the deficits and the transfers under way are the
 * only state of its own, and both may be lost without harm.
 *
 * <p>Uses {@code commit}, {@code tasks}, {@code membership}, {@code connectivity}, {@code state},
 * {@code outbox}, {@code peer} and {@code settings}.
 */
package gladeknot.quota;
