/**
 * Commits the controller's changes to the state service, in batches.
 *
 * <p>{@link gladeknot.commit.TransactionCommitter} sends one conditional transaction at a time. It
 * owns the pending changes ({@code PendingChanges}) and the transaction in flight ({@code
 * CommitState}). {@code BatchBuilder} selects the contents of a transaction within {@code
 * BatchLimits}, {@code SliceBatcher} and {@code MutationBatcher} add single changes to it, {@code
 * SegmentMigrator} moves records to the segments of a new storage format, {@code OutcomeHandler}
 * applies the outcome of a transaction, and {@code SliceReloader} reloads slices from their stored
 * records.
 *
 * <p>May use: tasks, jobs, membership, connectivity, state and tracing.
 */
package gladeknot.commit;
