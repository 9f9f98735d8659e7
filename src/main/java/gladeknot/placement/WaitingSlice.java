package gladeknot.placement;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;

/**
 * A slice with tasks to start; {@code key} orders those of one rank. What stands before the key in
 * the order is worked out once, as one number: each pass sorts all that waits.
 */
record WaitingSlice(
    Slice slice,
    Job job,
    boolean foreign,
    boolean starved,
    boolean guaranteed,
    long key,
    int order) {
  private static final int RANK = 128;
  private static final int NOT_STARVED = 64;
  private static final int NOT_GUARANTEED = 32;

  /** Between two tiers of deadlines, for whose it is. */
  private static final int TIER = 2;

  WaitingSlice(
      Slice slice,
      Job job,
      JobSpec.Rank rank,
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
            + Urgency.tier(key) * TIER
            + (foreign ? 1 : 0));
  }

  /** The same for a slice of ours that takes its tasks over. */
  WaitingSlice of(Slice own) {
    return new WaitingSlice(own, job, false, starved, guaranteed, key, order);
  }

  static int inOrder(WaitingSlice a, WaitingSlice b) {
    return a.order != b.order ? Integer.compare(a.order, b.order) : byKey(a, b);
  }

  private static int byKey(WaitingSlice a, WaitingSlice b) {
    if (a.key != b.key) {
      return Long.compare(a.key, b.key);
    }
    long first = a.job.readyMicros();
    long second = b.job.readyMicros();
    return first != second ? Long.compare(first, second) : a.job.id().compareTo(b.job.id());
  }

  static int inQueue(WaitingSlice a, WaitingSlice b) {
    int first = a.order & -NOT_GUARANTEED;
    int second = b.order & -NOT_GUARANTEED;
    return first != second ? Integer.compare(first, second) : byKey(a, b);
  }
}
