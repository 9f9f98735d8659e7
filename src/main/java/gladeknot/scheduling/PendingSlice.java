package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;
import gladeknot.tasks.TaskRequirements;

/**
 * A slice with pending tasks in the scheduling queue.
 *
 * @param slice the slice that the tasks are in
 * @param job its job
 * @param remote whether the slice is in another shard than the one that is being scheduled
 * @param starving whether newer work has taken precedence for too long
 * @param guaranteed whether the job is within its team's guarantee
 * @param deadlineKey orders slices whose {@code order} is equal; see {@link DeadlineOrder#key}
 * @param order all criteria that come before the deadline key, as one number that is computed once:
 *     every cycle sorts all pending slices
 */
record PendingSlice(
    Slice slice,
    Job job,
    boolean remote,
    boolean starving,
    boolean guaranteed,
    long deadlineKey,
    int order) {
  // The criteria of the order, from the last to the first. Each weight exceeds the sum of all that
  // come after it: remote 0..1, deadline tier 0..8 times two, then two flags and the priority.

  /** The owned shard's work comes first among that of one tier. */
  private static final int REMOTE = 1;

  private static final int DEADLINE_TIER = 2;
  private static final int NOT_GUARANTEED = 32;
  private static final int NOT_STARVING = 64;
  private static final int PRIORITY = 128;

  /** Clears whose shard it is, and the deadline tier, which the deadline key implies. */
  private static final int DEMAND_ORDER_MASK = -NOT_GUARANTEED;

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
        priority.ordinal() * PRIORITY
            + (starving ? 0 : NOT_STARVING)
            + (guaranteed ? 0 : NOT_GUARANTEED)
            + DeadlineOrder.tier(deadlineKey) * DEADLINE_TIER
            + (remote ? REMOTE : 0));
  }

  /** The same for the slice of the scheduled shard that claims its tasks. */
  PendingSlice claimedBy(Slice claiming) {
    return new PendingSlice(claiming, job, false, starving, guaranteed, deadlineKey, order);
  }

  JobSpec spec() {
    return job.spec();
  }

  boolean isGang() {
    return job.spec().shape() == JobSpec.Shape.GANG;
  }

  /** Whether one task is all that its precedence as starving work is for. */
  boolean limitedToOneTask() {
    return starving && !job.spec().unsplit();
  }

  /** What its tasks require; null if their zones depend on one another. */
  TaskRequirements requirements() {
    JobSpec spec = job.spec();
    return spec.spread() || spec.colocated() ? null : slice.requirements(spec);
  }

  /**
   * The order of a scheduling cycle: priority, starving work, guarantees, the deadline that can
   * still be met, the scheduled shard's own work, the deadline key, age. Own work that is late for
   * its deadlines must not come before what can be in time elsewhere.
   */
  static int compareForCycle(PendingSlice first, PendingSlice second) {
    return first.order != second.order
        ? Integer.compare(first.order, second.order)
        : compareByDeadline(first, second);
  }

  /** The order of demand for scale-out, which treats the slices of all shards alike. */
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
