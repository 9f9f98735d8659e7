package gladeknot.workers;

import gladeknot.tasks.Attempt;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rented machine with the worker on it: its stored record, the attempts assigned to it, and for
 * machines of this controller's shards what their heartbeats tell. Times are microseconds of the
 * steady clock unless a name says otherwise.
 */
public final class Worker {
  private static final WorkerRecord UNREGISTERED = new WorkerRecord(0, "", "", false, 0, false);

  private final String host;
  private WorkerRecord record = UNREGISTERED;
  private boolean registered;

  /** Where it listens, by the cloud's list. */
  private String listedEndpoint;

  private WorkerSession session = new WorkerSession();
  private final WorkerReachability reachability = new WorkerReachability();
  private final ImageCache imageCache = new ImageCache();
  private final WorkerFailures failures = new WorkerFailures();

  /** Attempts by task name, for all shards as far as the cached state tells. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  private long probedMicros = WorkerSession.NEVER;
  private long idleSinceMicros;
  private boolean surplus;
  private boolean releasing;

  Worker(String host) {
    this.host = host;
  }

  /** The machine's name. */
  public String host() {
    return host;
  }

  // The stored record.

  /** The state store has a record of the machine. */
  void onRegistered(WorkerRecord stored) {
    record = stored;
    registered = true;
  }

  /** Its record was deleted, and with it the machine. */
  void onDeregistered() {
    record =
        new WorkerRecord(
            record.shard(),
            record.type(),
            record.zone(),
            record.spot(),
            record.launchedWallMicros(),
            true);
    registered = false;
  }

  /** Its stored form as the cached state has it; null if the state store does not have it. */
  public String record() {
    return registered ? record(record.shard(), record.terminating()) : null;
  }

  /** The stored form for a machine in another shard, or whose release has been decided. */
  public String record(int inShard, boolean isTerminating) {
    return WorkerRecordCodec.encode(
        new WorkerRecord(
            inShard,
            record.type(),
            record.zone(),
            record.spot(),
            record.launchedWallMicros(),
            isTerminating));
  }

  /** Whether it is registered, and neither released nor reclaimed by the cloud soon. */
  public boolean isExpectedToStay() {
    return registered() && !terminating() && reclaimAtMicros() == 0;
  }

  /** Whether the state store has it. */
  public boolean registered() {
    return registered;
  }

  /** The shard that it belongs to. */
  public int shard() {
    return record.shard();
  }

  /** The name of its machine type; empty if it was never registered. */
  public String type() {
    return record.type();
  }

  /** The zone that it is in; empty if it was never registered. */
  public String zone() {
    return record.zone();
  }

  /** Whether it is a spot instance. */
  public boolean spot() {
    return record.spot();
  }

  /** The time of day at which it was registered. */
  public long launchedWallMicros() {
    return record.launchedWallMicros();
  }

  /** Whether its release has been decided. */
  public boolean terminating() {
    return record.terminating();
  }

  // The session.

  /** Records a heartbeat that is newer than those before it. */
  void onHeartbeat(Heartbeat newest, long nowMicros) {
    session.onHeartbeat(newest, nowMicros);
  }

  /** Records an answer that renews its lease if it arrives. */
  void onAnswered(long nowMicros, long term) {
    session.onAnswered(nowMicros, term);
  }

  /** It has restarted without the tasks that were on it. */
  void onRestart() {
    session.onRestart();
  }

  /** Forgets the session, as when its shard was acquired from another controller. */
  void resetSession() {
    session = new WorkerSession();
  }

  /** Its newest heartbeat; null if none has arrived in this session. */
  public Heartbeat heartbeat() {
    return session.heartbeat();
  }

  /** When its newest heartbeat arrived; 0 if none has in this session. */
  public long heartbeatMicros() {
    return session.heartbeatMicros();
  }

  /**
   * When the newest answer that may have renewed its lease was sent; long before any time if there
   * is none.
   */
  public long answeredMicros() {
    return session.answeredMicros();
  }

  /**
   * When a run command can next be sent to it: these are part of answers only, and a heartbeat that
   * is held as a long poll has still to be answered.
   */
  public long nextAnswerMicros(long heartbeatIntervalMicros) {
    long heartbeatMicros = session.heartbeatMicros();
    return session.answeredMicros() < heartbeatMicros
        ? heartbeatMicros
        : heartbeatMicros + heartbeatIntervalMicros;
  }

  /** When the cloud takes it back; 0 if it has given no notice. */
  public long reclaimAtMicros() {
    return session.reclaimAtMicros();
  }

  /** Where commands reach it, as host:port; null if that is not known. */
  public String endpoint() {
    Heartbeat heartbeat = session.heartbeat();
    return heartbeat != null ? heartbeat.endpoint() : listedEndpoint;
  }

  /** Records where it listens by the cloud's list, which counts until it sends a heartbeat. */
  public void setListedEndpoint(String endpoint) {
    listedEndpoint = endpoint;
  }

  /** Whether it may be probed now, not sooner than an interval after the last probe. */
  boolean tryProbe(long nowMicros, long intervalMicros) {
    if (nowMicros < probedMicros + intervalMicros) {
      return false;
    }
    probedMicros = nowMicros;
    return true;
  }

  // Reachability.

  /** Records that answers don't reach it: nothing is started on it until one does. */
  public void markUnreachable(long nowMicros) {
    reachability.markUnreachable(session.heartbeat().incarnation(), nowMicros);
  }

  /** Records that a command was carried out. */
  public void markReachable() {
    reachability.markReachable();
  }

  /** Judges by its newest heartbeat whether answers reach it after all. */
  public void updateReachability(long nowMicros, long leaseMicros) {
    reachability.update(session.heartbeat().incarnation(), nowMicros, leaseMicros);
  }

  /** Whether answers don't reach it, as it seems. */
  public boolean unreachable() {
    return reachability.unreachable();
  }

  /** Whether an incarnation has ended although its heartbeats were answered. */
  public boolean confirmedUnreachable() {
    return reachability.confirmed();
  }

  // Images.

  /** Records an image that it uses, and evicts those used longest ago if they don't fit. */
  public void cacheImage(String image, double imageGb, double cacheGb) {
    imageCache.use(image, imageGb, cacheGb);
  }

  /** Whether it has an image, as far as that is known. */
  public boolean hasImage(String image) {
    return imageCache.contains(image);
  }

  /** The images that it has, the one used most recently last. */
  public Collection<String> cachedImages() {
    return imageCache.images();
  }

  // Failures.

  /** Tasks that failed on it in a row; failures of more than one job count twice. */
  public int consecutiveFailures() {
    return failures.consecutiveFailures();
  }

  /** A task has completed on it. */
  public void resetFailures() {
    failures.resetFailures();
  }

  /** Counts a task that failed on it; returns {@link #consecutiveFailures}. */
  public int countFailure(String job) {
    return failures.countFailure(job);
  }

  /** No task is started on it before this time. */
  public long quarantinedUntilMicros() {
    return failures.quarantinedUntilMicros();
  }

  /** Lets no task start on it before a time. */
  public void quarantineUntil(long micros) {
    failures.quarantineUntil(micros);
  }

  // Scale-in.

  /** Since when no task is on it; 0 while one is, or if that is not known. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** No task is on it, from now on unless that was so already. */
  public void markIdle(long nowMicros) {
    if (idleSinceMicros == 0) {
      idleSinceMicros = nowMicros;
    }
  }

  /** A task is on it. */
  public void markBusy() {
    idleSinceMicros = 0;
  }

  /** Whether the demand that is forecast fits on the other machines. */
  public boolean surplus() {
    return surplus;
  }

  /** Says whether the demand that is forecast fits on the other machines. */
  public void setSurplus(boolean isSurplus) {
    surplus = isSurplus;
  }

  /** Whether its release, or its transfer to another shard, is under way. */
  public boolean releasing() {
    return releasing;
  }

  /** Says whether its release, or its transfer to another shard, is under way. */
  public void setReleasing(boolean isReleasing) {
    releasing = isReleasing;
  }

  // Attempts.

  /** The attempts assigned to it, by task name; only {@link WorkerRegistry} adds and removes. */
  public Map<String, Attempt> attempts() {
    return attempts;
  }

  /** Whether a start that was decided for it waits to be committed. */
  boolean hasUncommittedStarts() {
    for (Attempt attempt : attempts.values()) {
      if (!attempt.closed() && !attempt.committed()) {
        return true;
      }
    }
    return false;
  }

  /** Whether a committed start has not been sent or not been taken up, or a kill is wanted. */
  boolean hasCommandsToSend() {
    for (Attempt attempt : attempts.values()) {
      if (!attempt.closed()
          && attempt.committed()
          && (attempt.killRequested()
              || attempt.observedPhase() == Attempt.ObservedPhase.NOT_OBSERVED)) {
        return true;
      }
    }
    return false;
  }
}
