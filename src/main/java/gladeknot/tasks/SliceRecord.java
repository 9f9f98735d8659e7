package gladeknot.tasks;

import java.util.BitSet;
import java.util.List;

/**
 * A slice as it is stored: {@code TEAM|CPUS|GPUS|MEMORY|COUNTER|ASSIGNED|DONE|ATTEMPTS}, the
 * amounts in thousandths, the sets of tasks as {@link TaskRanges}, the attempts as {@link
 * AttemptCodec} writes them.
 *
 * @param attemptCounter how many attempt numbers have been drawn for the slice
 * @param assigned the tasks that the shard has to run
 * @param done those of them that are done
 * @param attempts the tasks that may be on machines
 */
record SliceRecord(
    String team,
    long cpus,
    long gpus,
    long memory,
    long attemptCounter,
    BitSet assigned,
    BitSet done,
    List<AttemptCodec.StoredAttempt> attempts) {

  /** Stands for all assigned tasks: slices that are done outnumber the others. */
  private static final String ALL_ASSIGNED = "*";

  private static final String SEPARATOR = "|";
  private static final String SEPARATOR_PATTERN = "\\|";
  private static final int TEAM = 0;
  private static final int CPUS = 1;
  private static final int GPUS = 2;
  private static final int MEMORY = 3;
  private static final int ATTEMPT_COUNTER = 4;
  private static final int ASSIGNED = 5;
  private static final int DONE = 6;
  private static final int ATTEMPTS = 7;

  /** Reads a stored record, its attempts in whichever form they have. */
  static SliceRecord decode(String text) {
    String[] fields = text.split(SEPARATOR_PATTERN, -1);
    BitSet assigned = TaskRanges.parse(fields[ASSIGNED]);
    boolean allDone = fields[DONE].equals(ALL_ASSIGNED);
    return new SliceRecord(
        fields[TEAM],
        Long.parseLong(fields[CPUS]),
        Long.parseLong(fields[GPUS]),
        Long.parseLong(fields[MEMORY]),
        Long.parseLong(fields[ATTEMPT_COUNTER]),
        assigned,
        allDone ? assigned : TaskRanges.parse(fields[DONE]),
        AttemptCodec.read(fields[ATTEMPTS]));
  }

  /** The tasks that a stored record assigns, without reading the rest of it. */
  static BitSet assignedIn(String text) {
    return TaskRanges.parse(text.split(SEPARATOR_PATTERN, ASSIGNED + 2)[ASSIGNED]);
  }

  /** The record's text; {@code compact} chooses the form of the attempts. */
  String encode(boolean compact) {
    return String.join(
        SEPARATOR,
        team,
        Long.toString(cpus),
        Long.toString(gpus),
        Long.toString(memory),
        Long.toString(attemptCounter),
        TaskRanges.text(assigned),
        done.equals(assigned) ? ALL_ASSIGNED : TaskRanges.text(done),
        compact ? AttemptCodec.compact(attempts) : AttemptCodec.plain(attempts));
  }
}
