/**
 * Determines the health of this controller's links in each direction. Advises, based on this, which
 * controller should own a shard and which actions may be taken. This is the feature {@code
 * partial-cuts}, which handles asymmetric partial partitions.
 *
 * <p>The package owns the evidence on links to the state service, the cloud, the workers and the
 * other controllers, and the verdicts drawn from it. It also owns the offers by which a controller
 * that can't reach the state service hands its shards over (voluntary failover), and the canary
 * probes before a shard returns to its home. {@code Authority} and {@code ControlAction} define in
 * one table which actions are permitted for a shard, and apply without the feature too. Links can
 * only take authority away, never grant it.
 *
 * <p>Uses {@code peer}, {@code outbox}, {@code json} and {@code settings}. The state of shards and
 * workers comes from {@code ShardView} and {@code Authority.ShardFacts}.
 */
package gladeknot.connectivity;
