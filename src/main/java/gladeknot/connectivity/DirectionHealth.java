package gladeknot.connectivity;

/**
 * The evidence on one direction of a link and the verdict drawn from it: when the last message that
 * is proved to have got through was sent, and since when a message has been overdue. Evidence is
 * ordered by the time at which the message was sent, so that late evidence never counts for
 * messages sent after it. The class reads no clock: all times are passed in.
 */
final class DirectionHealth {
  /** The overdue times that lead to each verdict, and the duration of a probation. */
  record Limits(long suspectAfterMicros, long unreachableAfterMicros, long probationMicros) {}

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Limits limits;
  private final FlapDamping damping;
  private long provenMicros = NEVER_MICROS;
  private long overdueMicros = NEVER_MICROS;
  private Verdict verdict = Verdict.UNKNOWN;
  private long sinceMicros;

  DirectionHealth(Limits limits, FlapDamping.Limits damping) {
    this.limits = limits;
    this.damping = new FlapDamping(damping);
  }

  /** Records that a message sent at the given time is proved to have got through. */
  void recordProven(long sentMicros) {
    provenMicros = Math.max(provenMicros, sentMicros);
    if (overdueMicros <= provenMicros) {
      overdueMicros = NEVER_MICROS;
    }
  }

  /**
   * Records that a message sent at the given time should have been proved by now but has not been.
   */
  void recordOverdue(long sentMicros) {
    if (sentMicros > provenMicros
        && (overdueMicros == NEVER_MICROS || sentMicros < overdueMicros)) {
      overdueMicros = sentMicros;
    }
  }

  /** Updates the verdict; returns whether it has changed. */
  boolean update(long nowMicros) {
    Verdict next = nextVerdict(nowMicros);
    if (next == verdict) {
      return false;
    }
    if (next == Verdict.UNREACHABLE) {
      damping.recordChange(nowMicros);
    }
    verdict = next;
    sinceMicros = nowMicros;
    return true;
  }

  private Verdict nextVerdict(long nowMicros) {
    if (provenMicros == NEVER_MICROS && overdueMicros == NEVER_MICROS) {
      return Verdict.UNKNOWN;
    }
    long overdueForMicros = overdueMicros == NEVER_MICROS ? 0 : nowMicros - overdueMicros;
    boolean nothingOverdue = overdueMicros == NEVER_MICROS;
    boolean suspect = overdueForMicros > limits.suspectAfterMicros();
    boolean unreachable = overdueForMicros > limits.unreachableAfterMicros();
    return switch (verdict) {
      case UNKNOWN, REACHABLE, SUSPECT -> {
        if (unreachable) {
          yield Verdict.UNREACHABLE;
        }
        if (suspect) {
          yield Verdict.SUSPECT;
        }
        yield nothingOverdue ? Verdict.REACHABLE : verdict;
      }
      case UNREACHABLE -> nothingOverdue ? Verdict.PROBATION : Verdict.UNREACHABLE;
      case PROBATION -> {
        if (suspect) {
          yield Verdict.UNREACHABLE;
        }
        boolean probationOver = nowMicros - sinceMicros >= limits.probationMicros();
        yield nothingOverdue && probationOver && !damping.suppressed(nowMicros)
            ? Verdict.REACHABLE
            : Verdict.PROBATION;
      }
    };
  }

  Verdict verdict() {
    return verdict;
  }

  /** Returns when the verdict last changed. */
  long sinceMicros() {
    return sinceMicros;
  }

  /** Returns when the last proved message was sent; far in the past if none is proved. */
  long provenMicros() {
    return provenMicros;
  }

  double penalty(long nowMicros) {
    return damping.penalty(nowMicros);
  }
}
