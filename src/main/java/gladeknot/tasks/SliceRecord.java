package gladeknot.tasks;

import gladeknot.json.FieldEscaper;
import java.util.BitSet;
import java.util.List;

/**
 * The stored form of a slice: {@code TEAM|CPUS|GPUS|MEMORY|COUNTER|ASSIGNED|DONE|ATTEMPTS}. Amounts
 * are in thousandths, sets of tasks are in the form of {@link TaskRanges}, and attempts are in the
 * form of {@link AttemptCodec}. If the team's name contains the separator, it is escaped and a
 * field {@code e} follows.
 *
 * @param attemptCounter the number of attempt numbers that the slice has assigned
 * @param assigned the tasks that are assigned to the shard
 * @param done the assigned tasks that are completed
 * @param attempts the attempts that may be on machines
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

  /**
   * Text of the completed tasks if all assigned tasks are completed. It keeps records short,
   * because most stored slices are completed.
   */
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
  private static final int NAME_FORM = 8;
  private static final String ESCAPED = "e";

  /** Decodes a stored record with its attempts in either form. */
  static SliceRecord decode(String text) {
    String[] fields = text.split(SEPARATOR_PATTERN, -1);
    BitSet assigned = TaskRanges.parse(fields[ASSIGNED]);
    boolean allDone = fields[DONE].equals(ALL_ASSIGNED);
    return new SliceRecord(
        isEscaped(fields) ? FieldEscaper.unescape(fields[TEAM]) : fields[TEAM],
        Long.parseLong(fields[CPUS]),
        Long.parseLong(fields[GPUS]),
        Long.parseLong(fields[MEMORY]),
        Long.parseLong(fields[ATTEMPT_COUNTER]),
        assigned,
        allDone ? assigned : TaskRanges.parse(fields[DONE]),
        AttemptCodec.decode(fields[ATTEMPTS]));
  }

  private static boolean isEscaped(String[] fields) {
    return fields.length > NAME_FORM && fields[NAME_FORM].equals(ESCAPED);
  }

  /** Returns the assigned tasks of a stored record without decoding its other fields. */
  static BitSet assignedIn(String text) {
    return TaskRanges.parse(text.split(SEPARATOR_PATTERN, ASSIGNED + 2)[ASSIGNED]);
  }

  /**
   * Encodes the record.
   *
   * @param compact whether to encode the attempts in the compact form
   */
  String encode(boolean compact) {
    boolean escaped = FieldEscaper.isNeededFor(team);
    String record =
        String.join(
            SEPARATOR,
            escaped ? FieldEscaper.escape(team) : team,
            Long.toString(cpus),
            Long.toString(gpus),
            Long.toString(memory),
            Long.toString(attemptCounter),
            TaskRanges.text(assigned),
            done.equals(assigned) ? ALL_ASSIGNED : TaskRanges.text(done),
            compact ? AttemptCodec.encodeCompact(attempts) : AttemptCodec.encodePlain(attempts));
    return escaped ? record + SEPARATOR + ESCAPED : record;
  }
}
