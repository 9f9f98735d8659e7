package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;
import gladeknot.tasks.TaskRequirements;

/**
 * A slice with pending tasks in the scheduling queue.
 *
 * @param slice the slice that the tasks are in
 * @param job the job of the slice
 * @param remote whether the slice is in a shard other than the one that is being scheduled
 * @param starving whether newer jobs have taken precedence over the job for too long
 * @param guaranteed whether the job is within its team's guarantee
 * @param deadlineKey orders slices whose {@code order} is equal; see {@link DeadlineOrder#key}
 * @param order all criteria that come before the deadline key, encoded in one number. It is
 *     computed once per slice because every cycle sorts all pending slices.
 */
record PendingSlice(
    Slice slice,
    Job job,
    boolean remote,
    boolean starving,
    boolean guaranteed,
    long deadlineKey,
    int order) {
  // Weights of the criteria in the order, from the least to the most significant: the remote flag
  // (0 or 1), the deadline tier (0 to 8), two flags and the priority. Each weight exceeds the
  // maximum sum of all less significant terms.

  /** Weight of the remote flag: slices of the scheduled shard come first within a tier. */
  private static final int REMOTE_WEIGHT = 1;

  private static final int DEADLINE_TIER_WEIGHT = 2;
  private static final int NOT_GUARANTEED_WEIGHT = 32;
  private static final int NOT_STARVING_WEIGHT = 64;
  private static final int PRIORITY_WEIGHT = 128;

  /** Mask that clears the remote flag and the deadline tier, which the deadline key implies. */
  private static final int DEMAND_ORDER_MASK = -NOT_GUARANTEED_WEIGHT;

  PendingSlice(
      Slice slice,
      Job job,
      JobSpec.Priority priority,
      boolean remote,
      boolean starving,
      boolean guaranteed,
      long deadlineKey) {
    this(
        slice,
        job,
        remote,
        starving,
        guaranteed,
        deadlineKey,
        priority.ordinal() * PRIORITY_WEIGHT
            + (starving ? 0 : NOT_STARVING_WEIGHT)
            + (guaranteed ? 0 : NOT_GUARANTEED_WEIGHT)
            + DeadlineOrder.tier(deadlineKey) * DEADLINE_TIER_WEIGHT
            + (remote ? REMOTE_WEIGHT : 0));
  }

  /** Returns this entry for the slice of the scheduled shard that claims the tasks. */
  PendingSlice claimedBy(Slice claiming) {
    return new PendingSlice(claiming, job, false, starving, guaranteed, deadlineKey, order);
  }

  JobSpec spec() {
    return job.spec();
  }

  boolean isGang() {
    return job.spec().shape() == JobSpec.Shape.GANG;
  }

  /** Returns whether the precedence of a starving slice applies to only one of its tasks. */
  boolean limitedToOneTask() {
    return starving && !job.spec().unsplit();
  }

  /** Returns the requirements of the tasks; null if their zones depend on one another. */
  TaskRequirements requirements() {
    JobSpec spec = job.spec();
    return spec.spread() || spec.colocated() ? null : slice.requirements(spec);
  }

  /**
   * Compares slices for the order of a scheduling cycle. The criteria are the priority, starving
   * jobs, guarantees, the deadline tier, slices of the scheduled shard, the deadline key and the
   * age. The deadline tier comes before the shard because late slices of the scheduled shard must
   * not come before slices of other shards that can be in time.
   */
  static int compareForCycle(PendingSlice first, PendingSlice second) {
    return first.order != second.order
        ? Integer.compare(first.order, second.order)
        : compareByDeadline(first, second);
  }

  /** Compares slices for the order of scale-out demand, which treats all shards alike. */
  static int compareForDemand(PendingSlice first, PendingSlice second) {
    int firstOrder = first.order & DEMAND_ORDER_MASK;
    int secondOrder = second.order & DEMAND_ORDER_MASK;
    return firstOrder != secondOrder
        ? Integer.compare(firstOrder, secondOrder)
        : compareByDeadline(first, second);
  }

  private static int compareByDeadline(PendingSlice first, PendingSlice second) {
    if (first.deadlineKey != second.deadlineKey) {
      return Long.compare(first.deadlineKey, second.deadlineKey);
    }
    long firstReady = first.job.readyMicros();
    long secondReady = second.job.readyMicros();
    return firstReady != secondReady
        ? Long.compare(firstReady, secondReady)
        : first.job.id().compareTo(second.job.id());
  }
}
