package gladeknot.workers;

import gladeknot.tasks.Attempt;
import java.util.LinkedHashMap;
import java.util.Map;

/** A rented machine: its key, and for those of our shards its newest report. */
public final class Worker {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String host;
  private int shard;
  private String type = "";
  private String zone = "";
  private boolean spot;
  private long launchedWallMicros;
  private boolean terminating;
  private boolean registered;

  /** Where it listens, by the cloud's list. */
  private String listedEndpoint;

  private Heartbeat heartbeat;
  private long heartbeatMicros;
  private long answeredMicros = NEVER;

  /** The term of the last answer, and the answer before it that may have got there. */
  private long answeredTerm;

  private long previousAnsweredMicros = NEVER;
  private long reclaimAtMicros;

  /** Attempts by task name, for all shards as far as the followed copy tells. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** Images that it has, the newest last, with their sizes. */
  private final LinkedHashMap<String, Double> cachedImages = new LinkedHashMap<>(8, 0.75f, true);

  private int consecutiveFailures;
  private String lastFailedJob = "";

  private boolean unreachable;
  private boolean confirmedUnreachable;
  private long unreachableSinceMicros;
  private long unreachableIncarnation;
  private long probedMicros = NEVER;

  private long quarantinedUntilMicros;
  private long idleSinceMicros;
  private boolean surplus;
  private boolean releasing;

  Worker(String host) {
    this.host = host;
  }

  public String record(int inShard, boolean isLeaving) {
    return WorkerRecordCodec.encode(
        new WorkerRecord(inShard, type, zone, spot, launchedWallMicros, isLeaving));
  }

  /** Its record as the followed copy has it; null if it isn't entered. */
  public String record() {
    return registered ? record(shard, terminating) : null;
  }

  void read(String record) {
    WorkerRecord stored = WorkerRecordCodec.decode(record);
    shard = stored.shard();
    type = stored.type();
    zone = stored.zone();
    spot = stored.spot();
    launchedWallMicros = stored.launchedWallMicros();
    terminating = stored.terminating();
    registered = true;
  }

  /** Its record has gone, and with it the machine. */
  void markDeregistered() {
    registered = false;
    terminating = true;
  }

  void onHeartbeat(Heartbeat newest, long nowMicros) {
    if (newest.fencingToken() < answeredTerm) {
      // It has not seen the token of our last answer: that got lost, and renewed no lease.
      answeredMicros = previousAnsweredMicros;
      answeredTerm = 0;
    }
    heartbeat = newest;
    heartbeatMicros = nowMicros;
    reclaimAtMicros =
        newest.reclaimInSeconds() < 0 ? 0 : nowMicros + (long) (newest.reclaimInSeconds() * 1e6);
  }

  void onAnswered(long nowMicros, long term) {
    if (answeredTerm == 0 || heartbeat.fencingToken() >= answeredTerm) {
      previousAnsweredMicros = answeredMicros;
    }
    answeredTerm = term;
    answeredMicros = nowMicros;
  }

  /** Notes that our answers don't reach it: nothing new goes there until one does. */
  public void markUnreachable(long nowMicros) {
    if (!unreachable) {
      unreachable = true;
      unreachableSinceMicros = nowMicros;
      unreachableIncarnation = heartbeat.incarnation();
    }
  }

  /**
   * Looks at what its newest report says of that: a session that outlasts a lease has been
   * answered, so that an answer or two were only late; one that has ended meanwhile has not.
   */
  public void updateReachability(long nowMicros, long leaseMicros) {
    if (!unreachable) {
      return;
    }
    if (heartbeat.incarnation() > unreachableIncarnation) {
      confirmedUnreachable = true;
    } else if (nowMicros - unreachableSinceMicros > leaseMicros) {
      markReachable();
    }
  }

  /** Whether a session has ended for want of the answers that were given in it. */
  public boolean confirmedUnreachable() {
    return confirmedUnreachable;
  }

  /** Notes that a command of ours was carried out. */
  public void markReachable() {
    unreachable = false;
    confirmedUnreachable = false;
  }

  public boolean unreachable() {
    return unreachable;
  }

  /** Whether its state is worth asking for: what it sends is older than what it has sent. */
  boolean mayProbe(long nowMicros, long gapMicros) {
    if (nowMicros < probedMicros + gapMicros) {
      return false;
    }
    probedMicros = nowMicros;
    return true;
  }

  /** It has begun anew, without what was on it: older sessions count no more. */
  void onRestart() {
    heartbeat = null;
    answeredTerm = 0;
  }

  /** Notes an image that it has, forgetting those used longest ago when they don't fit. */
  public void cacheImage(String image, double gb, double cacheGb) {
    Double known = cachedImages.put(image, gb);
    if (known != null && known == gb) {
      return;
    }
    double sum = cachedImages.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = cachedImages.entrySet().iterator();
    while (sum > cacheGb && oldest.hasNext()) {
      sum -= oldest.next().getValue();
      oldest.remove();
    }
  }

  public boolean hasImage(String image) {
    return cachedImages.containsKey(image);
  }

  public java.util.Collection<String> cachedImages() {
    return cachedImages.keySet();
  }

  /** Forgets the session, as when its shard has come from another controller. */
  void resetSession() {
    heartbeat = null;
    heartbeatMicros = 0;
    answeredMicros = NEVER;
    previousAnsweredMicros = NEVER;
    answeredTerm = 0;
    reclaimAtMicros = 0;
  }

  /** How many tasks failed on it in a row; failures of more than one job count twice. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** A task has completed on it. */
  public void resetFailures() {
    consecutiveFailures = 0;
  }

  /** Counts a task that failed on it; returns {@link #consecutiveFailures}. */
  public int countFailure(String job) {
    consecutiveFailures++;
    if (!lastFailedJob.equals(job) && consecutiveFailures > 1) {
      // Failures of more than one job in a row speak against the machine.
      consecutiveFailures++;
    }
    lastFailedJob = job;
    return consecutiveFailures;
  }

  /** No task is started on it before this time. */
  public long quarantinedUntilMicros() {
    return quarantinedUntilMicros;
  }

  /** Starts no task on it before a time. */
  public void quarantineUntil(long micros) {
    quarantinedUntilMicros = micros;
  }

  /** Since when nothing is on it; 0 while something is, or if that is not known. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Nothing is on it, from now on unless that was so already. */
  public void markIdle(long nowMicros) {
    if (idleSinceMicros == 0) {
      idleSinceMicros = nowMicros;
    }
  }

  /** Something is on it. */
  public void markBusy() {
    idleSinceMicros = 0;
  }

  /** Whether the work that is likely to come fits on the other machines. */
  public boolean surplus() {
    return surplus;
  }

  /** Says whether the work that is likely to come fits on the other machines. */
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

  public String host() {
    return host;
  }

  public int shard() {
    return shard;
  }

  public String type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public long launchedWallMicros() {
    return launchedWallMicros;
  }

  public boolean terminating() {
    return terminating;
  }

  /** Whether the state store has it. */
  public boolean registered() {
    return registered;
  }

  public Heartbeat heartbeat() {
    return heartbeat;
  }

  /** Where commands reach it; null if that is not known. */
  public String endpoint() {
    return heartbeat != null ? heartbeat.endpoint() : listedEndpoint;
  }

  public void setListedEndpoint(String endpoint) {
    listedEndpoint = endpoint;
  }

  public long heartbeatMicros() {
    return heartbeatMicros;
  }

  /**
   * When a command can next reach it: runs go in answers alone, and a report that is held for a
   * start has still to be answered.
   */
  public long nextAnswerMicros(long reportEveryMicros) {
    return answeredMicros < heartbeatMicros ? heartbeatMicros : heartbeatMicros + reportEveryMicros;
  }

  public long answeredMicros() {
    return answeredMicros;
  }

  /** When the cloud takes it away; 0 if it stays. */
  public long reclaimAtMicros() {
    return reclaimAtMicros;
  }

  /** Whether a start decided for it waits to be committed. */
  boolean hasUncommittedStarts() {
    for (Attempt a : attempts.values()) {
      if (!a.closed() && !a.committed()) {
        return true;
      }
    }
    return false;
  }

  /** Whether a start has been committed that no answer has carried yet, or an end is wanted. */
  boolean hasCommandsToSend() {
    for (Attempt a : attempts.values()) {
      if (!a.closed()
          && a.committed()
          && (a.killRequested() || a.observedPhase() == Attempt.ObservedPhase.NOT_OBSERVED)) {
        return true;
      }
    }
    return false;
  }

  public Map<String, Attempt> attempts() {
    return attempts;
  }
}
