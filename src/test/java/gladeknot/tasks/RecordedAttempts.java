package gladeknot.tasks;

import java.util.List;

/** Decodes and encodes the attempts of a slice's stored record, for checks of committed data. */
public final class RecordedAttempts {
  private static final int ATTEMPTS_FIELD = 7;

  /** An attempt in a committed record. */
  public record Recorded(String task, long number, String host) {}

  private RecordedAttempts() {}

  /** Decodes the attempts in a slice's record. */
  public static List<Recorded> of(String job, String record) {
    return read(job, record.split("\\|", -1)[ATTEMPTS_FIELD]);
  }

  /** Decodes a job's attempts in either form. */
  public static List<Recorded> read(String job, String attempts) {
    return AttemptCodec.decode(attempts).stream()
        .map(attempt -> new Recorded(job + "/" + attempt.task(), attempt.number(), attempt.host()))
        .toList();
  }

  /** Encodes attempts in the plain form, which every version reads. */
  public static String plain(List<Recorded> attempts) {
    return AttemptCodec.encodePlain(stored(attempts));
  }

  /** Encodes attempts in the compact form, or in the plain form if it is no longer. */
  public static String compact(List<Recorded> attempts) {
    return AttemptCodec.encodeCompact(stored(attempts));
  }

  private static List<AttemptCodec.StoredAttempt> stored(List<Recorded> attempts) {
    return attempts.stream().map(RecordedAttempts::stored).toList();
  }

  private static AttemptCodec.StoredAttempt stored(Recorded attempt) {
    int taskIndex = attempt.task().lastIndexOf('/') + 1;
    int task = Integer.parseInt(attempt.task().substring(taskIndex));
    return new AttemptCodec.StoredAttempt(task, attempt.number(), attempt.host());
  }
}
