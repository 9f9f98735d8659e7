/**
 * The client of the state service, a consensus-backed key-value store.
 *
 * <p>Owns the watch cache, which holds every key under one prefix, the transactions that are sent,
 * the read barriers that prove how recent the cache is, and the client-side rate limits. The names
 * and paths of the service's protocol appear only in {@code TransactionCodec} and {@code
 * StateServiceCodec}.
 *
 * <p>Uses {@code outbox} to make calls, {@code json} and {@code settings}. It does not depend on
 * shards, jobs or workers. Everything runs on the event loop's thread.
 */
package gladeknot.state;
