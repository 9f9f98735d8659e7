/**
 * Controller leases and shard ownership: which controller owns which shard, under which term, and
 * until when it may act.
 *
 * <p>Each controller holds a lease of the state service with a liveness key attached to it. A shard
 * has one key that names its owner (the shard's leader), the owner's incarnation and the term,
 * which is the fencing token that workers are shown. It changes by one conditional transaction:
 * failover after the owner's lease has expired, handover by the owner, or return to the shard's
 * home. The package also contains lease delegations, the computation of lease times, and the
 * storage format that all members agree on.
 *
 * <p>{@link gladeknot.membership.MembershipCodec} alone knows how its records are stored. Uses
 * {@code state}, {@code connectivity}, {@code settings} and {@code policy}.
 */
package gladeknot.membership;
