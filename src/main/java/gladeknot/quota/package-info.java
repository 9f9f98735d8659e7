/**
 * Team limits as quota shares of the shards.
 *
 * <p>A team's limit is divided among the shards in one record for each team; the sum of the shares
 * never exceeds the limit. Only the owner of a shard, which knows what is used of its share, makes
 * that share smaller, and transfers what it can spare to shards with a deficit. {@link
 * gladeknot.quota.QuotaAllocator} is the entry point. Only {@code QuotaLedger} decides what a shard
 * may start. It is consulted when a start is decided, when the start is committed ({@code
 * QuotaAdmission}), and before a start of a former owner is repeated. {@code QuotaMonitor} checks
 * the bounds, and {@code ShareCorrection} restores them after a change of the limit. The deficits
 * and the transfers in flight are the only state of the package; both may be lost without harm.
 *
 * <p>Uses {@code commit}, {@code tasks}, {@code membership}, {@code connectivity}, {@code state},
 * {@code outbox}, {@code peer} and {@code settings}.
 */
package gladeknot.quota;
