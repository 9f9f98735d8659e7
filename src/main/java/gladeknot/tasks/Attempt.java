package gladeknot.tasks;

import gladeknot.tracing.TaskTracer;

/**
 * One start of a task on a worker, from the scheduling decision until the end of the attempt is
 * committed. All times are microseconds of the steady clock.
 */
public final class Attempt {
  /** The phase of an attempt according to the newest heartbeat of its worker. */
  public enum ObservedPhase {
    NOT_OBSERVED,
    FETCHING,
    WAITING,
    RUNNING,
    SAVING
  }

  private static final double MICROS_PER_SECOND = 1e6;

  private final Slice slice;
  private final int task;
  private final long number;
  private final String host;
  private final String name;
  private final long decidedMicros;
  private boolean committed;
  private boolean closed;
  private boolean leaseExpired;
  private long delegationRevision;
  private boolean succeeded;
  private boolean recovered;
  private boolean runSent;
  private long runSentIncarnation;
  private long runSentSequence;
  private int unacknowledgedRuns;
  private ObservedPhase observedPhase = ObservedPhase.NOT_OBSERVED;
  private long runningSinceMicros;
  private long killRequestedMicros;
  private double graceSeconds;
  private boolean jobFinished;

  /** Creates an attempt whose start has been decided but is not committed yet. */
  public Attempt(Slice slice, int task, long number, String host, long decidedMicros) {
    this.slice = slice;
    this.task = task;
    this.number = number;
    this.host = host;
    this.name = slice.job() + "/" + task;
    this.decidedMicros = decidedMicros;
  }

  /** Creates an attempt from a stored record, which does not say when the attempt began to run. */
  static Attempt recovered(Slice slice, AttemptCodec.StoredAttempt stored, long nowMicros) {
    Attempt attempt = new Attempt(slice, stored.task(), stored.number(), stored.host(), nowMicros);
    attempt.committed = true;
    // The record does not say whether the run command was sent, so assume that it was.
    attempt.runSent = true;
    attempt.recovered = true;
    return attempt;
  }

  /** Returns the identity of the attempt in traces. */
  public TaskTracer.AttemptId traceId() {
    return new TaskTracer.AttemptId(slice.job(), name, number);
  }

  /** Returns the slice that the task belongs to. */
  public Slice slice() {
    return slice;
  }

  /** Returns the number of the task in its job. */
  public int task() {
    return task;
  }

  /** Returns the attempt number, which is unique within the job. */
  public long number() {
    return number;
  }

  /** Returns the name of the machine. */
  public String host() {
    return host;
  }

  /** Returns the name of the task on the wire. */
  public String name() {
    return name;
  }

  /** Returns the time at which the start was decided or read from a record. */
  public long decidedMicros() {
    return decidedMicros;
  }

  /** Returns whether the start is committed, so that the run command may be sent. */
  public boolean committed() {
    return committed;
  }

  /** Returns whether another object represents the same start. */
  boolean isSameStart(Attempt other) {
    return number == other.number && host.equals(other.host);
  }

  /** Records that the start has been committed. */
  public void markCommitted() {
    committed = true;
  }

  /**
   * Returns whether the attempt provably no longer runs on its machine. A closed attempt is kept
   * until its end is committed.
   */
  public boolean closed() {
    return closed;
  }

  /** Records that the attempt has ended or is provably lost. */
  public void close() {
    closed = true;
  }

  /** Returns whether the attempt was closed because its worker's lease expired. */
  public boolean leaseExpired() {
    return leaseExpired;
  }

  /**
   * Returns the revision of the lease delegation entry on which the expiry of the lease was based.
   */
  public long delegationRevision() {
    return delegationRevision;
  }

  /**
   * Records that the worker's lease has expired according to a revision of the lease delegation
   * entry.
   */
  public void expireLease(long newDelegationRevision) {
    leaseExpired = true;
    delegationRevision = newDelegationRevision;
  }

  /**
   * Resets the attempt after a commit that contained it failed or was superseded while the stored
   * record still lists it. The expiry of its lease must then be determined again.
   */
  void reconfirm() {
    committed = true;
    if (leaseExpired) {
      leaseExpired = false;
      closed = false;
    }
  }

  /** Returns whether the attempt was closed because the task completed. */
  public boolean succeeded() {
    return succeeded;
  }

  /** Records that the task has completed. */
  public void markSucceeded() {
    succeeded = true;
  }

  /**
   * Returns whether the attempt was read from a stored record, so that its run time is not known.
   */
  public boolean recovered() {
    return recovered;
  }

  /** Returns whether the run command may have reached the worker. */
  public boolean runSent() {
    return runSent;
  }

  /**
   * Records that the answer to the heartbeat with the given incarnation and sequence number carries
   * the run command.
   */
  public void markRunSent(long incarnation, long sequence) {
    runSent = true;
    runSentIncarnation = incarnation;
    runSentSequence = sequence;
  }

  /**
   * Returns the worker's incarnation in the newest heartbeat whose answer carried the run command,
   * or 0 if no answer carried it.
   */
  public long runSentIncarnation() {
    return runSentIncarnation;
  }

  /** Returns the sequence number of the newest heartbeat whose answer carried the run command. */
  public long runSentSequence() {
    return runSentSequence;
  }

  /**
   * Returns the number of answers that carried the run command but did not arrive, as later
   * heartbeats show.
   */
  public int unacknowledgedRuns() {
    return unacknowledgedRuns;
  }

  /** Counts an answer with the run command that did not arrive, as a later heartbeat shows. */
  public void countUnacknowledgedRun() {
    unacknowledgedRuns++;
  }

  /** Returns the phase according to the newest heartbeat of the worker. */
  public ObservedPhase observedPhase() {
    return observedPhase;
  }

  /** Records the phase in which a heartbeat lists the attempt. */
  public void observe(ObservedPhase phase, long nowMicros) {
    runSent = true;
    observedPhase = phase;
    if (phase == ObservedPhase.RUNNING && runningSinceMicros == 0) {
      runningSinceMicros = nowMicros;
    }
  }

  /**
   * Returns the time at which a heartbeat first listed the attempt as running, or 0 if none has.
   */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** Returns the time of the first kill request, or 0 if there was none. */
  public long killRequestedMicros() {
    return killRequestedMicros;
  }

  /** Returns whether a kill was requested. */
  public boolean killRequested() {
    return killRequestedMicros != 0;
  }

  /**
   * Requests a kill. A later request replaces the grace period.
   *
   * @return whether this is the first request
   */
  public boolean requestKill(double newGraceSeconds, long nowMicros) {
    boolean first = killRequestedMicros == 0;
    if (first) {
      killRequestedMicros = nowMicros;
    }
    graceSeconds = newGraceSeconds;
    return first;
  }

  /** Returns the rest of the grace period, in which the task can save its progress. */
  public double remainingGraceSeconds(long nowMicros) {
    return Math.max(0, graceSeconds - (nowMicros - killRequestedMicros) / MICROS_PER_SECOND);
  }

  /**
   * Returns whether the job is completed or cancelled. The owner of the shard then kills the
   * attempt.
   */
  public boolean jobFinished() {
    return jobFinished;
  }

  /** Records that the job is completed or cancelled. */
  public void markJobFinished() {
    jobFinished = true;
  }

  /** Returns the identity in log lines, for example {@code req-1/3#12 host=vm-000231}. */
  @Override
  public String toString() {
    return name() + "#" + number + " host=" + host;
  }
}
