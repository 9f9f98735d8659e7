package gladeknot.tasks;

import gladeknot.tracing.TaskTracer;

/**
 * One start of a task on a worker, from the scheduling decision until its end is committed. All
 * times are microseconds of the steady clock.
 */
public final class Attempt {
  /** What the worker's newest heartbeat says of the attempt. */
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

  /** A start that has been decided and is not committed yet. */
  public Attempt(Slice slice, int task, long number, String host, long decidedMicros) {
    this.slice = slice;
    this.task = task;
    this.number = number;
    this.host = host;
    this.name = slice.job() + "/" + task;
    this.decidedMicros = decidedMicros;
  }

  /** An attempt read from a stored record: when it began to run is not known. */
  static Attempt recovered(Slice slice, AttemptCodec.StoredAttempt stored, long nowMicros) {
    Attempt attempt = new Attempt(slice, stored.task(), stored.number(), stored.host(), nowMicros);
    attempt.committed = true;
    // Whether its run command was sent is not stored: it may have been.
    attempt.runSent = true;
    attempt.recovered = true;
    return attempt;
  }

  /** Its name for tracing. */
  public TaskTracer.AttemptId traceId() {
    return new TaskTracer.AttemptId(slice.job(), name, number);
  }

  /** The slice that its task belongs to. */
  public Slice slice() {
    return slice;
  }

  /** The task's number in its job. */
  public int task() {
    return task;
  }

  /** The attempt number, which no other attempt of the job has. */
  public long number() {
    return number;
  }

  /** The machine's name. */
  public String host() {
    return host;
  }

  /** The task's name on the wire. */
  public String name() {
    return name;
  }

  /** When the start was decided, or read from a record. */
  public long decidedMicros() {
    return decidedMicros;
  }

  /** Whether the start is in the state store, so that its run command may be sent. */
  public boolean committed() {
    return committed;
  }

  /** Whether another object stands for the same start. */
  boolean isSameStart(Attempt other) {
    return number == other.number && host.equals(other.host);
  }

  /** The start has been committed. */
  public void markCommitted() {
    committed = true;
  }

  /** Whether it is provably off its machine; it is kept until that is committed. */
  public boolean closed() {
    return closed;
  }

  /** It has ended, or is proven gone. */
  public void close() {
    closed = true;
  }

  /** Whether it was closed because its worker's lease expired. */
  public boolean leaseExpired() {
    return leaseExpired;
  }

  /** The revision of the lease delegation entry by which the lease counted as expired. */
  public long delegationRevision() {
    return delegationRevision;
  }

  /** Its worker's lease has expired, as far as a revision of the delegation entry tells. */
  public void expireLease(long byDelegationRevision) {
    leaseExpired = true;
    delegationRevision = byDelegationRevision;
  }

  /**
   * A commit that contained this attempt failed or was superseded, and the record still holds it:
   * whether its lease has expired has to be judged anew.
   */
  void reconfirm() {
    committed = true;
    if (leaseExpired) {
      leaseExpired = false;
      closed = false;
    }
  }

  /** Whether it was closed because the task completed. */
  public boolean succeeded() {
    return succeeded;
  }

  /** The task has completed. */
  public void markSucceeded() {
    succeeded = true;
  }

  /** Whether it was read from a record, so that how long it has run is not known. */
  public boolean recovered() {
    return recovered;
  }

  /** Whether its run command may have reached the worker. */
  public boolean runSent() {
    return runSent;
  }

  /** The answer to a heartbeat of this incarnation and sequence number carries its run command. */
  public void markRunSent(long incarnation, long sequence) {
    runSent = true;
    runSentIncarnation = incarnation;
    runSentSequence = sequence;
  }

  /** The incarnation of the newest heartbeat whose answer carried the run command; 0 if none. */
  public long runSentIncarnation() {
    return runSentIncarnation;
  }

  /** The sequence number of the newest heartbeat whose answer carried the run command. */
  public long runSentSequence() {
    return runSentSequence;
  }

  /** How many answers carried its run command and, as later heartbeats show, did not arrive. */
  public int unacknowledgedRuns() {
    return unacknowledgedRuns;
  }

  /** A later heartbeat shows that an answer with its run command did not arrive. */
  public void countUnacknowledgedRun() {
    unacknowledgedRuns++;
  }

  /** The phase by the newest heartbeat of its machine. */
  public ObservedPhase observedPhase() {
    return observedPhase;
  }

  /** A heartbeat lists it in a phase. */
  public void observe(ObservedPhase phase, long nowMicros) {
    runSent = true;
    observedPhase = phase;
    if (phase == ObservedPhase.RUNNING && runningSinceMicros == 0) {
      runningSinceMicros = nowMicros;
    }
  }

  /** When it was first seen running; 0 if it has not been. */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** When a kill was first requested; 0 if none was. */
  public long killRequestedMicros() {
    return killRequestedMicros;
  }

  /** Whether a kill was requested. */
  public boolean killRequested() {
    return killRequestedMicros != 0;
  }

  /** Requests a kill; returns whether it is the first request. A later one changes the grace. */
  public boolean requestKill(double newGraceSeconds, long nowMicros) {
    boolean first = killRequestedMicros == 0;
    if (first) {
      killRequestedMicros = nowMicros;
    }
    graceSeconds = newGraceSeconds;
    return first;
  }

  /** What is left of the time that it has to save its progress. */
  public double remainingGraceSeconds(long nowMicros) {
    return Math.max(0, graceSeconds - (nowMicros - killRequestedMicros) / MICROS_PER_SECOND);
  }

  /** Whether its job is finished: the owner of its shard kills it. */
  public boolean jobFinished() {
    return jobFinished;
  }

  /** Its job is done or cancelled. */
  public void markJobFinished() {
    jobFinished = true;
  }

  /** Its identity in log lines, for example {@code req-1/3#12 host=vm-000231}. */
  @Override
  public String toString() {
    return name() + "#" + number + " host=" + host;
  }
}
