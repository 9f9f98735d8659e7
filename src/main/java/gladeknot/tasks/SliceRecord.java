package gladeknot.tasks;

import gladeknot.json.FieldEscaper;
import gladeknot.json.ResourceUnits;
import java.util.BitSet;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The stored form of a slice: {@code TEAM|CPUS|GPUS|MEMORY|COUNTER|ASSIGNED|DONE|ATTEMPTS}. Amounts
 * are in thousandths, rounded up, sets of tasks are in the form of {@link TaskRanges}, and attempts
 * are in the form of {@link AttemptCodec}.
 *
 * <p>Two further fields follow if either is needed; earlier versions ignore them. The first is
 * {@code e} if the team's name contains the separator and is escaped, else empty. The second is
 * {@code CPUS,GPUS,MEMORY} in billionths if these are no whole thousandths, else empty.
 *
 * @param cpus CPUs of one task, in billionths
 * @param gpus GPUs of one task, in billionths
 * @param memory memory of one task, in billionths of a GB
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
  private static final int EXACT_AMOUNTS = 9;
  private static final String ESCAPED = "e";
  private static final String AMOUNT_SEPARATOR = ",";

  /** Decodes a stored record with its attempts in either form. */
  static SliceRecord decode(String text) {
    String[] fields = text.split(SEPARATOR_PATTERN, -1);
    BitSet assigned = TaskRanges.parse(fields[ASSIGNED]);
    boolean allDone = fields[DONE].equals(ALL_ASSIGNED);
    long[] amounts = amounts(fields);
    return new SliceRecord(
        isEscaped(fields) ? FieldEscaper.unescape(fields[TEAM]) : fields[TEAM],
        amounts[0],
        amounts[1],
        amounts[2],
        Long.parseLong(fields[ATTEMPT_COUNTER]),
        assigned,
        allDone ? assigned : TaskRanges.parse(fields[DONE]),
        AttemptCodec.decode(fields[ATTEMPTS]));
  }

  private static boolean isEscaped(String[] fields) {
    return fields.length > NAME_FORM && fields[NAME_FORM].equals(ESCAPED);
  }

  /** Returns CPUs, GPUs and memory in billionths. */
  private static long[] amounts(String[] fields) {
    if (fields.length > EXACT_AMOUNTS && !fields[EXACT_AMOUNTS].isEmpty()) {
      return Stream.of(fields[EXACT_AMOUNTS].split(AMOUNT_SEPARATOR))
          .mapToLong(Long::parseLong)
          .toArray();
    }
    return Stream.of(fields[CPUS], fields[GPUS], fields[MEMORY])
        .mapToLong(field -> ResourceUnits.ofThousandths(Long.parseLong(field)))
        .toArray();
  }

  private boolean hasWholeThousandths() {
    return LongStream.of(cpus, gpus, memory)
        .allMatch(amount -> amount % ResourceUnits.PER_THOUSANDTH == 0);
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
            Long.toString(ResourceUnits.thousandthsRoundedUp(cpus)),
            Long.toString(ResourceUnits.thousandthsRoundedUp(gpus)),
            Long.toString(ResourceUnits.thousandthsRoundedUp(memory)),
            Long.toString(attemptCounter),
            TaskRanges.text(assigned),
            done.equals(assigned) ? ALL_ASSIGNED : TaskRanges.text(done),
            compact ? AttemptCodec.encodeCompact(attempts) : AttemptCodec.encodePlain(attempts));
    return record + furtherFields(escaped);
  }

  private String furtherFields(boolean escaped) {
    if (!escaped && hasWholeThousandths()) {
      return "";
    }
    String exactAmounts =
        hasWholeThousandths()
            ? ""
            : String.join(
                AMOUNT_SEPARATOR, Long.toString(cpus), Long.toString(gpus), Long.toString(memory));
    return SEPARATOR + (escaped ? ESCAPED : "") + SEPARATOR + exactAmounts;
  }
}
