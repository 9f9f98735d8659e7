/**
 * Commits the controller's changes to the state store, in batches.
 *
 * <p>{@link gladeknot.commit.TransactionCommitter} sends one conditional transaction at a time. It
 * owns what waits to be committed ({@code PendingChanges}) and which transaction is in flight
 * ({@code CommitState}). {@code BatchBuilder} chooses what a transaction contains within {@code
 * BatchLimits}, {@code SliceBatcher} and {@code MutationBatcher} add single changes to it, {@code
 * SegmentMigrator} moves records to the segments of a new storage format, {@code OutcomeHandler}
 * applies what became of a transaction, and {@code SliceReloader} brings slices in line with what
 * is stored.
 *
 * <p>May use: tasks, jobs, membership, connectivity, state and tracing.
 */
package gladeknot.commit;
