package gladeknot.tasks;

import java.util.List;

/** Reads the attempts of a slice's stored record, for checkers of what was committed. */
public final class RecordedAttempts {
  private static final int ATTEMPTS_FIELD = 7;

  /** One attempt that a committed record holds. */
  public record Recorded(String task, long number, String host) {}

  private RecordedAttempts() {}

  /** The attempts in one job's record of one slice. */
  public static List<Recorded> of(String job, String record) {
    String attempts = record.split("\\|", -1)[ATTEMPTS_FIELD];
    return AttemptCodec.read(attempts).stream()
        .map(a -> new Recorded(job + "/" + a.task(), a.number(), a.host()))
        .toList();
  }
}
