package gladeknot.placement;

import gladeknot.tracing.TaskTracer;

/** One start of a task on a worker, from its decision until its end is committed. */
public final class Attempt {
  /** What a worker's newest report says of it. */
  public enum Seen {
    NOT_YET,
    FETCHING,
    WAITING,
    RUNNING,
    SAVING
  }

  private final Slice slice;
  private final int task;
  private final long number;
  private final String host;
  private final String name;
  private final long decidedMicros;

  /** In the state store: it may be sent. */
  boolean committed;

  /** Off its machine for sure; kept until that is committed. */
  boolean closed;

  /** Closed because its worker's lease has lapsed, as far as the care entry of that stamp tells. */
  boolean lapsed;

  long delegationStamp;

  /** Closed because it completed. */
  boolean finished;

  /** Read from a record: how long it has run is not known. */
  boolean rebuilt;

  /** Whether its run may have reached the worker. */
  boolean sent;

  /** The newest report whose answer carried its run; 0 if none of ours did. */
  long sentTenure;

  long sentTick;

  /** How many answers carried its run and did not reach the worker, as later reports show. */
  int missed;

  Seen seen = Seen.NOT_YET;
  long runningSinceMicros;

  /** When a kill was first wanted; 0 if none is. */
  long killMicros;

  double graceS;

  /** Its job is over, or is told to be: its end is wanted by whoever acts for the shard. */
  boolean overdue;

  Attempt(Slice slice, int task, long number, String host, long decidedMicros) {
    this.slice = slice;
    this.task = task;
    this.number = number;
    this.host = host;
    this.name = slice.job() + "/" + task;
    this.decidedMicros = decidedMicros;
  }

  /** Its name for tracing. */
  TaskTracer.AttemptId traceId() {
    return new TaskTracer.AttemptId(slice.job(), name, number);
  }

  public Slice slice() {
    return slice;
  }

  public int task() {
    return task;
  }

  public long number() {
    return number;
  }

  public String host() {
    return host;
  }

  public long decidedMicros() {
    return decidedMicros;
  }

  public boolean committed() {
    return committed;
  }

  public boolean closed() {
    return closed;
  }

  public Seen seen() {
    return seen;
  }

  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  public boolean killed() {
    return killMicros != 0;
  }

  /** What is left of the time that it has to save. */
  double graceLeftS(long nowMicros) {
    return Math.max(0, graceS - (nowMicros - killMicros) / 1e6);
  }

  /** The task's name on the wire. */
  public String name() {
    return name;
  }

  @Override
  public String toString() {
    return name() + " attempt " + number + " on " + host;
  }
}
