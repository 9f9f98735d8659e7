package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;

/**
 * A slice with tasks to start; {@code key} orders those of one rank. What stands before the key in
 * the order is worked out once, as one number: each pass sorts all that waits.
 */
record PendingSlice(
    Slice slice,
    Job job,
    boolean remote,
    boolean starved,
    boolean guaranteed,
    long deadlineKey,
    int order) {
  private static final int RANK = 128;
  private static final int NOT_STARVED = 64;
  private static final int NOT_GUARANTEED = 32;

  /** Between two tiers of deadlines, for whose it is. */
  private static final int TIER = 2;

  PendingSlice(
      Slice slice,
      Job job,
      JobSpec.Priority rank,
      boolean foreign,
      boolean starved,
      boolean guaranteed,
      long key) {
    this(
        slice,
        job,
        foreign,
        starved,
        guaranteed,
        key,
        rank.ordinal() * RANK
            + (starved ? 0 : NOT_STARVED)
            + (guaranteed ? 0 : NOT_GUARANTEED)
            + DeadlineOrder.tier(key) * TIER
            + (foreign ? 1 : 0));
  }

  /** The same for a slice of ours that takes its tasks over. */
  PendingSlice of(Slice own) {
    return new PendingSlice(own, job, false, starved, guaranteed, deadlineKey, order);
  }

  static int inOrder(PendingSlice a, PendingSlice b) {
    return a.order != b.order ? Integer.compare(a.order, b.order) : byKey(a, b);
  }

  private static int byKey(PendingSlice a, PendingSlice b) {
    if (a.deadlineKey != b.deadlineKey) {
      return Long.compare(a.deadlineKey, b.deadlineKey);
    }
    long first = a.job.readyMicros();
    long second = b.job.readyMicros();
    return first != second ? Long.compare(first, second) : a.job.id().compareTo(b.job.id());
  }

  static int inQueue(PendingSlice a, PendingSlice b) {
    int first = a.order & -NOT_GUARANTEED;
    int second = b.order & -NOT_GUARANTEED;
    return first != second ? Integer.compare(first, second) : byKey(a, b);
  }
}
