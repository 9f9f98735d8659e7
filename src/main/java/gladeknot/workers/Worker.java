package gladeknot.workers;

import gladeknot.tasks.Attempt;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rented machine and the worker on it: the stored record, the attempts assigned to the machine
 * and, for machines of this controller's shards, the state known from heartbeats. Times are
 * microseconds of the steady clock unless a name says otherwise.
 */
public final class Worker {
  private static final WorkerRecord UNREGISTERED = new WorkerRecord(0, "", "", false, 0, false);

  private final String host;
  private WorkerRecord record = UNREGISTERED;
  private boolean registered;

  /** Endpoint of the worker according to the cloud's list of instances. */
  private String listedEndpoint;

  private WorkerSession session = new WorkerSession();
  private final WorkerReachability reachability = new WorkerReachability();
  private final ImageCache imageCache = new ImageCache();
  private final RecentRuns recentRuns = new RecentRuns();
  private final WorkerFailures failures = new WorkerFailures();
  private final RefusedSizes refusedSizes = RefusedSizes.ofMachine();

  /** Attempts of all shards by task name, according to the cache. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  private long probedMicros = WorkerSession.NEVER_MICROS;
  private long idleSinceMicros;
  private boolean surplus;
  private boolean releasing;

  Worker(String host) {
    this.host = host;
  }

  /** Returns the machine's name. */
  public String host() {
    return host;
  }

  // The stored record.

  /** Applies the machine's record in the state service. */
  void onRegistered(WorkerRecord stored) {
    record = stored;
    registered = true;
  }

  /** Handles the deletion of the machine's record, which means that the machine is gone. */
  void onDeregistered() {
    record = record.with(record.shard(), true);
    registered = false;
  }

  /** Returns the stored form of the machine's record in the cache; null if there is none. */
  public String encodedRecord() {
    return registered ? encodedRecord(record.shard(), record.terminating()) : null;
  }

  /** Returns the stored form of the record with the given shard and terminating flag. */
  public String encodedRecord(int inShard, boolean isTerminating) {
    return WorkerRecordCodec.encode(record.with(inShard, isTerminating));
  }

  /**
   * Returns whether the machine is registered, and neither being released nor about to be reclaimed
   * by the cloud.
   */
  public boolean isExpectedToStay() {
    return registered() && !terminating() && reclaimAtMicros() == 0;
  }

  /** Returns whether the state service has a record of the machine. */
  public boolean registered() {
    return registered;
  }

  /** Returns the shard that the machine belongs to. */
  public int shard() {
    return record.shard();
  }

  /** Returns the name of the machine's type; empty if the machine was never registered. */
  public String type() {
    return record.type();
  }

  /** Returns the machine's zone; empty if the machine was never registered. */
  public String zone() {
    return record.zone();
  }

  /** Returns whether the machine is a spot instance. */
  public boolean spot() {
    return record.spot();
  }

  /** Returns the time of day at which the machine was registered. */
  public long launchedWallMicros() {
    return record.launchedWallMicros();
  }

  /** Returns whether the machine's release has been decided. */
  public boolean terminating() {
    return record.terminating();
  }

  // The session.

  /** Records a heartbeat that is newer than all earlier ones. */
  void onHeartbeat(Heartbeat newest, long nowMicros) {
    session.onHeartbeat(newest, nowMicros);
  }

  /** Records an answer, which renews the worker's lease if it arrives. */
  void onAnswered(long nowMicros, long term) {
    session.onAnswered(nowMicros, term);
  }

  /** Returns the run commands that answers to the worker have carried lately. */
  public RecentRuns recentRuns() {
    return recentRuns;
  }

  /** Records that the worker has restarted under a term, without the tasks that were on it. */
  void onRestart(long term) {
    session.onRestart(term);
  }

  /**
   * Returns whether a heartbeat may have been sent before the machine's last restart, so that what
   * it does not list may have started since.
   */
  public boolean mayPrecedeRestart(Heartbeat candidate) {
    return session.mayPrecedeRestart(candidate);
  }

  /** Discards the session, for example when the shard was acquired from another controller. */
  void resetSession() {
    session = new WorkerSession();
  }

  /** Returns the newest heartbeat; null if none has arrived in this session. */
  public Heartbeat heartbeat() {
    return session.heartbeat();
  }

  /** Returns the arrival time of the newest heartbeat; 0 if none has arrived in this session. */
  public long heartbeatMicros() {
    return session.heartbeatMicros();
  }

  /**
   * Returns the time of the newest answer that may have renewed the worker's lease; a time long
   * before all others if there is none.
   */
  public long answeredMicros() {
    return session.answeredMicros();
  }

  /**
   * Returns the time at which a run command can next be sent to the worker. Run commands are sent
   * only in answers to heartbeats. A heartbeat that is held as a long poll is still to be answered.
   */
  public long nextAnswerMicros(long heartbeatIntervalMicros) {
    long heartbeatMicros = session.heartbeatMicros();
    return session.answeredMicros() < heartbeatMicros
        ? heartbeatMicros
        : heartbeatMicros + heartbeatIntervalMicros;
  }

  /**
   * Returns the time at which the cloud reclaims the machine; 0 if the cloud has given no notice.
   */
  public long reclaimAtMicros() {
    return session.reclaimAtMicros();
  }

  /** Returns the endpoint for direct commands, as host:port; null if it is not known. */
  public String endpoint() {
    Heartbeat heartbeat = session.heartbeat();
    return heartbeat != null ? heartbeat.endpoint() : listedEndpoint;
  }

  /**
   * Sets the endpoint from the cloud's list of instances, which is used until the worker sends a
   * heartbeat.
   */
  public void setListedEndpoint(String endpoint) {
    listedEndpoint = endpoint;
  }

  /**
   * Returns whether the worker may be probed now, at least an interval after the last probe, and
   * records the probe if so.
   */
  boolean tryProbe(long nowMicros, long intervalMicros) {
    if (nowMicros < probedMicros + intervalMicros) {
      return false;
    }
    probedMicros = nowMicros;
    return true;
  }

  // Reachability.

  /** Records that answers don't reach the worker. No task is started on it until an answer does. */
  public void markUnreachable(long nowMicros) {
    reachability.markUnreachable(session.heartbeat().incarnation(), nowMicros);
  }

  /** Records that the worker has carried out a command, which proves that it is reachable. */
  public void markReachable() {
    reachability.markReachable();
  }

  /** Determines from the newest heartbeat whether answers reach the worker after all. */
  public void updateReachability(long nowMicros, long leaseMicros) {
    reachability.update(session.heartbeat().incarnation(), nowMicros, leaseMicros);
  }

  /** Returns whether answers seem not to reach the worker. */
  public boolean unreachable() {
    return reachability.unreachable();
  }

  /**
   * Returns whether an incarnation has ended although its heartbeats were answered, which confirms
   * that answers don't reach the worker.
   */
  public boolean confirmedUnreachable() {
    return reachability.confirmed();
  }

  // Images.

  /**
   * Records the use of an image, and evicts the least recently used images until the remaining
   * images fit.
   */
  public void cacheImage(String image, double imageGb, double cacheGb) {
    imageCache.use(image, imageGb, cacheGb);
  }

  /** Returns whether the machine is known to have an image. */
  public boolean hasImage(String image) {
    return imageCache.contains(image);
  }

  /** Returns the images on the machine, the most recently used image last. */
  public Collection<String> cachedImages() {
    return imageCache.images();
  }

  // Failures.

  /** Returns the sizes of tasks that the machine has refused for lack of resources. */
  public RefusedSizes refusedSizes() {
    return refusedSizes;
  }

  /** Counts a failure of a job's task on the machine and quarantines the machine. */
  public void recordFailure(String job, long nowMicros) {
    failures.recordFailure(job, nowMicros);
  }

  /** Forgets the failures of a job that is itself at fault. */
  public void forgetFailuresOf(String job) {
    failures.forgetFailuresOf(job);
  }

  /** Forgets all failures, after a task has completed on the machine. */
  public void resetFailures() {
    failures.reset();
  }

  /**
   * Returns whether tasks of so many jobs have failed on the machine that it is taken to be at
   * fault.
   */
  public boolean isCordoned() {
    return failures.isCordoned();
  }

  /**
   * Returns whether a task may start on the machine as far as failures are concerned. A cordoned
   * machine is tried by one task at a time.
   */
  public boolean mayTryTask() {
    return !isCordoned()
        || attempts().values().stream()
            .noneMatch(
                attempt ->
                    !attempt.closed() && attempt.decidedMicros() > failures.lastFailureMicros());
  }

  /** Returns the time before which no task is started on the machine. */
  public long quarantinedUntilMicros() {
    return failures.quarantinedUntilMicros();
  }

  /** Prevents starts on the machine before a time. */
  public void quarantineUntil(long micros) {
    failures.quarantineUntil(micros);
  }

  // Scale-in.

  /**
   * Returns the time since which no task is on the machine; 0 while one is, or if the time is not
   * known.
   */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Records that no task is on the machine. If it was idle before, the earlier time stays. */
  public void markIdle(long nowMicros) {
    if (idleSinceMicros == 0) {
      idleSinceMicros = nowMicros;
    }
  }

  /** Records that a task is on the machine. */
  public void markBusy() {
    idleSinceMicros = 0;
  }

  /** Returns whether the forecast demand fits on the other machines. */
  public boolean surplus() {
    return surplus;
  }

  /** Sets whether the forecast demand fits on the other machines. */
  public void setSurplus(boolean isSurplus) {
    surplus = isSurplus;
  }

  /** Returns whether the machine's release, or its transfer to another shard, is in progress. */
  public boolean releasing() {
    return releasing;
  }

  /** Sets whether the machine's release, or its transfer to another shard, is in progress. */
  public void setReleasing(boolean isReleasing) {
    releasing = isReleasing;
  }

  // Attempts.

  /**
   * Returns the attempts assigned to the machine, by task name. Only {@link WorkerRegistry} adds
   * and removes attempts.
   */
  public Map<String, Attempt> attempts() {
    return attempts;
  }

  /** Returns whether a start on the machine has been decided and waits to be committed. */
  boolean hasUncommittedStarts() {
    for (Attempt attempt : attempts.values()) {
      if (!attempt.closed() && !attempt.committed()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a committed start has not been sent or not been taken up, or a kill is
   * requested.
   */
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
