package gladeknot.connectivity;

/**
 * What is known of one direction of a link: when something last surely got through, what is overdue
 * since, and the verdict that follows. Evidence is ordered by when it was sent, so that what comes
 * late can't speak for what was sent after it. It has no clock: times come in, a verdict comes out.
 */
final class DirectionHealth {
  /** How long something may be overdue before each verdict, and how long a probation lasts. */
  record Limits(long suspectAfterMicros, long unreachableAfterMicros, long probationMicros) {}

  private static final long NONE = Long.MIN_VALUE / 2;

  private final Limits limits;
  private final FlapDamping damping;
  private long provenMicros = NONE;
  private long overdueMicros = NONE;
  private Verdict verdict = Verdict.UNKNOWN;
  private long sinceMicros;

  DirectionHealth(Limits limits, FlapDamping.Limits damping) {
    this.limits = limits;
    this.damping = new FlapDamping(damping);
  }

  /** Something sent at that time surely got through. */
  void proven(long sentMicros) {
    provenMicros = Math.max(provenMicros, sentMicros);
    if (overdueMicros <= provenMicros) {
      overdueMicros = NONE;
    }
  }

  /** Something sent at that time has not been shown to get through, and should have been. */
  void overdue(long sentMicros) {
    if (sentMicros > provenMicros && (overdueMicros == NONE || sentMicros < overdueMicros)) {
      overdueMicros = sentMicros;
    }
  }

  /** Draws the verdict; returns whether it has changed. */
  boolean update(long nowMicros) {
    Verdict next = next(nowMicros);
    if (next == verdict) {
      return false;
    }
    if (next == Verdict.UNREACHABLE) {
      damping.changed(nowMicros);
    }
    verdict = next;
    sinceMicros = nowMicros;
    return true;
  }

  private Verdict next(long nowMicros) {
    if (provenMicros == NONE && overdueMicros == NONE) {
      return Verdict.UNKNOWN;
    }
    long overdueFor = overdueMicros == NONE ? 0 : nowMicros - overdueMicros;
    boolean works = overdueMicros == NONE;
    boolean late = overdueFor > limits.suspectAfterMicros();
    boolean tooLate = overdueFor > limits.unreachableAfterMicros();
    return switch (verdict) {
      case UNKNOWN, REACHABLE, SUSPECT -> {
        if (tooLate) {
          yield Verdict.UNREACHABLE;
        }
        if (late) {
          yield Verdict.SUSPECT;
        }
        yield works ? Verdict.REACHABLE : verdict;
      }
      case UNREACHABLE -> works ? Verdict.PROBATION : Verdict.UNREACHABLE;
      case PROBATION -> {
        if (late) {
          yield Verdict.UNREACHABLE;
        }
        boolean served = nowMicros - sinceMicros >= limits.probationMicros();
        yield works && served && !damping.suppressed(nowMicros)
            ? Verdict.REACHABLE
            : Verdict.PROBATION;
      }
    };
  }

  Verdict verdict() {
    return verdict;
  }

  /** Since when the verdict has been this one. */
  long sinceMicros() {
    return sinceMicros;
  }

  /** When something that is known to have got through was sent; far in the past if nothing was. */
  long provenMicros() {
    return provenMicros;
  }

  double penalty(long nowMicros) {
    return damping.penalty(nowMicros);
  }
}
