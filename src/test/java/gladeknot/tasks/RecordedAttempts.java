package gladeknot.tasks;

import java.util.List;

/** Reads and writes the attempts of a slice's stored record, for checkers of what is committed. */
public final class RecordedAttempts {
  private static final int ATTEMPTS_FIELD = 7;

  /** One attempt that a committed record holds. */
  public record Recorded(String task, long number, String host) {}

  private RecordedAttempts() {}

  /** The attempts in one job's record of one slice. */
  public static List<Recorded> of(String job, String record) {
    return read(job, record.split("\\|", -1)[ATTEMPTS_FIELD]);
  }

  /** The attempts of a job in either form. */
  public static List<Recorded> read(String job, String attempts) {
    return AttemptCodec.decode(attempts).stream()
        .map(attempt -> new Recorded(job + "/" + attempt.task(), attempt.number(), attempt.host()))
        .toList();
  }

  /** Attempts in the form that every version reads. */
  public static String plain(List<Recorded> attempts) {
    return AttemptCodec.encodePlain(stored(attempts));
  }

  /** Attempts in the short form, where that is shorter. */
  public static String compact(List<Recorded> attempts) {
    return AttemptCodec.encodeCompact(stored(attempts));
  }

  private static List<AttemptCodec.StoredAttempt> stored(List<Recorded> attempts) {
    return attempts.stream().map(RecordedAttempts::stored).toList();
  }

  private static AttemptCodec.StoredAttempt stored(Recorded attempt) {
    int number = attempt.task().lastIndexOf('/') + 1;
    int task = Integer.parseInt(attempt.task().substring(number));
    return new AttemptCodec.StoredAttempt(task, attempt.number(), attempt.host());
  }
}
