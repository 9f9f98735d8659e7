package gladeknot.tasks;

import java.util.BitSet;
import java.util.TreeMap;

/**
 * The states of a slice's tasks: the assigned tasks, the completed tasks and the attempts. Counts
 * that are read in each scheduling cycle are computed once after each change.
 */
final class TaskStates {
  /** Value of a count that has to be computed again. */
  private static final int UNKNOWN = -1;

  private final BitSet assigned = new BitSet();
  private final BitSet done = new BitSet();
  private final TreeMap<Integer, Attempt> attemptsByTask = new TreeMap<>();
  private int liveCount = UNKNOWN;
  private int pendingCount = UNKNOWN;

  BitSet assigned() {
    return assigned;
  }

  BitSet done() {
    return done;
  }

  TreeMap<Integer, Attempt> attemptsByTask() {
    return attemptsByTask;
  }

  /** Replaces the assigned and the completed tasks and keeps the attempts. */
  void reset(BitSet newAssigned, BitSet newDone) {
    pendingCount = UNKNOWN;
    assigned.clear();
    assigned.or(newAssigned);
    done.clear();
    done.or(newDone);
  }

  void assign(BitSet tasks) {
    assigned.or(tasks);
    pendingCount = UNKNOWN;
  }

  void unassign(int task) {
    assigned.clear(task);
    pendingCount = UNKNOWN;
  }

  void markDone(int task) {
    done.set(task);
    pendingCount = UNKNOWN;
  }

  void markAllDone() {
    done.or(assigned);
    pendingCount = UNKNOWN;
  }

  boolean isComplete() {
    return done.cardinality() == assigned.cardinality();
  }

  /** Returns whether a task is neither completed nor started. */
  boolean isPending(int task) {
    return assigned.get(task) && !done.get(task) && !attemptsByTask.containsKey(task);
  }

  /** Returns the first pending task from a number on; -1 if there is none. */
  int nextPending(int from) {
    for (int task = assigned.nextSetBit(from); task >= 0; task = assigned.nextSetBit(task + 1)) {
      if (!done.get(task) && !attemptsByTask.containsKey(task)) {
        return task;
      }
    }
    return -1;
  }

  /** Returns the number of tasks that are neither completed nor started. */
  int pendingCount() {
    if (pendingCount < 0) {
      // All attempts belong to assigned tasks. Only an attempt that has just ended can belong to a
      // completed task.
      int started = 0;
      for (Attempt attempt : attemptsByTask.values()) {
        if (!done.get(attempt.task())) {
          started++;
        }
      }
      pendingCount = assigned.cardinality() - done.cardinality() - started;
    }
    return pendingCount;
  }

  /**
   * Returns the number of tasks that may be on a machine according to all current knowledge,
   * committed or not.
   */
  int liveCount() {
    if (liveCount < 0) {
      liveCount = 0;
      for (Attempt attempt : attemptsByTask.values()) {
        liveCount += attempt.closed() ? 0 : 1;
      }
    }
    return liveCount;
  }

  boolean hasUncommittedStarts() {
    for (Attempt attempt : attemptsByTask.values()) {
      if (!attempt.closed() && !attempt.committed()) {
        return true;
      }
    }
    return false;
  }

  void addAttempt(Attempt attempt) {
    invalidateCounts();
    attemptsByTask.put(attempt.task(), attempt);
  }

  void removeAttempt(Attempt attempt) {
    invalidateCounts();
    attemptsByTask.remove(attempt.task(), attempt);
  }

  void clearAttempts() {
    attemptsByTask.clear();
    invalidateCounts();
  }

  /** Invalidates the cached counts after an attempt was added, removed or closed. */
  void invalidateCounts() {
    liveCount = UNKNOWN;
    pendingCount = UNKNOWN;
  }
}
