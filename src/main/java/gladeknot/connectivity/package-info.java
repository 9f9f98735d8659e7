/**
 * Judges this controller's links by direction, and advises by that who should own a shard and which
 * actions may be taken: the feature {@code partial-cuts}, against asymmetric partial partitions.
 *
 * <p>Owns the evidence on links to the state service, the cloud, the workers and the other
 * controllers, the verdicts that follow, the offers by which a controller without the state service
 * hands its shards over (voluntary failover), and the canary probes before a shard returns home.
 * {@code Authority} and {@code ControlAction} are the one table of what may be done for a shard;
 * they apply without the feature too. Links can only take authority away, never grant it.
 *
 * <p>Uses {@code peer}, {@code outbox}, {@code json} and {@code settings}. What it must know of
 * shards and workers comes in through {@code ShardView} and {@code Authority.ShardFacts}.
 */
package gladeknot.connectivity;
