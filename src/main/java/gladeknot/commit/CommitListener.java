package gladeknot.commit;

/** Hears of the committer's transactions. */
@FunctionalInterface
public interface CommitListener {
  /** A transaction has an outcome, and the slices and mutations in it reflect that outcome. */
  void onOutcomeApplied();
}
