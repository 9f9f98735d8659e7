package gladeknot.commit;

/** Is notified of the outcomes of the committer's transactions. */
@FunctionalInterface
public interface CommitListener {
  /** Called after a transaction's outcome has been applied to its slices and mutations. */
  void onOutcomeApplied();
}
