package gladeknot.tasks;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks of a job that one shard has: which are done, and which have been started where.
 *
 * <p>For owned shards this is the working copy, which may be ahead of the stored record; for remote
 * shards it is what the record says.
 */
public final class Slice {
  private final SegmentLayout layout;
  private final SegmentLocation location;
  private final int shard;
  private final String job;
  private final int shards;
  private String team;
  private long cpus;
  private long gpus;
  private long memory;

  private final TaskStates tasks = new TaskStates();
  private final Map<Slice, BitSet> pendingClaims = new LinkedHashMap<>();
  private long attemptCounter;

  private BitSet committedDone = new BitSet();
  private long version;
  private long reloads;

  /** Null until it is asked for. */
  private TaskRequirements requirements;

  private long dirtySinceMicros;
  private long backoffUntilMicros;
  private int consecutiveFailures;
  private long pendingSinceMicros;

  Slice(SegmentLayout layout, boolean unsplit, int shard, int shards, String job) {
    this.layout = layout;
    this.location = new SegmentLocation(layout, unsplit, shard, job);
    this.shard = shard;
    this.shards = shards;
    this.job = job;
  }

  /** The shard that has the tasks to run. */
  public int shard() {
    return shard;
  }

  /** The job's id. */
  public String job() {
    return job;
  }

  /** The job's team, whose quota its attempts use. */
  public String team() {
    return team;
  }

  /** The CPUs of one task, in thousandths. */
  public long cpus() {
    return cpus;
  }

  /** The GPUs of one task, in thousandths. */
  public long gpus() {
    return gpus;
  }

  /** The memory of one task, in thousandths of a GB. */
  public long memory() {
    return memory;
  }

  /** Its attempts that are not known to have been committed as ended; not to be changed. */
  public Collection<Attempt> attempts() {
    return tasks.attemptsByTask().values();
  }

  /**
   * Its attempts that are not known to have been committed as ended, by task; not to be changed.
   */
  public Map<Integer, Attempt> attemptsByTask() {
    return tasks.attemptsByTask();
  }

  /** The tasks that are this shard's to run; not to be changed. */
  public BitSet assigned() {
    return tasks.assigned();
  }

  /** The tasks that have completed, committed or not; not to be changed. */
  public BitSet done() {
    return tasks.done();
  }

  /**
   * Tasks claimed from other shards' slices, by slice, which move with the next commit; not to be
   * changed.
   */
  public Map<Slice, BitSet> pendingClaims() {
    return pendingClaims;
  }

  /** Claims tasks of another shard's slice, which move here with the next commit. */
  public void addClaim(Slice from, BitSet claimed) {
    pendingClaims.put(from, claimed);
  }

  /** The tasks claimed from a slice have been committed. */
  public void removeClaim(Slice from) {
    pendingClaims.remove(from);
  }

  /** Drops all claims that are not committed. */
  public void dropClaims() {
    pendingClaims.clear();
  }

  /** The key of the segment that holds its record; null if the state store has none. */
  public String storedKey() {
    return location.storedKey();
  }

  /** Grows with each change, so that a commit can tell whether it contained the last one. */
  public long version() {
    return version;
  }

  /** How often it was loaded again, so that an outcome can tell whether it concerns what it is. */
  public long reloads() {
    return reloads;
  }

  /** Since when it has something to commit; 0 if it has nothing. */
  public long dirtySinceMicros() {
    return dirtySinceMicros;
  }

  /** It has something to commit. */
  public void markDirty(long nowMicros) {
    version++;
    if (dirtySinceMicros == 0) {
      dirtySinceMicros = nowMicros;
    }
  }

  /** All that it had to commit is committed. */
  public void markClean() {
    dirtySinceMicros = 0;
  }

  /** Its record was written to a segment, with these tasks done. */
  public void markStored(String segmentKey, BitSet storedDone) {
    location.setStoredKey(segmentKey);
    committedDone = storedDone;
  }

  /** No task of it starts before this time. */
  public long backoffUntilMicros() {
    return backoffUntilMicros;
  }

  /** Starts no task of it before a time. */
  public void backOffUntil(long micros) {
    backoffUntilMicros = micros;
  }

  /** Counts a task that failed; returns how many did since the last that completed. */
  public int countFailure() {
    consecutiveFailures++;
    return consecutiveFailures;
  }

  /** A task has completed. */
  public void resetFailures() {
    consecutiveFailures = 0;
  }

  /** When the first task that could start began to wait; 0 if none waits. */
  public long pendingSinceMicros() {
    return pendingSinceMicros;
  }

  /** Tasks wait to be started, from now on unless some waited already. */
  public void markPending(long nowMicros) {
    if (pendingSinceMicros == 0) {
      pendingSinceMicros = nowMicros;
    }
  }

  /** No task waits to be started. */
  public void clearPending() {
    pendingSinceMicros = 0;
  }

  /** What decides which machines take a task of it, worked out once. */
  public TaskRequirements requirements(JobSpec spec) {
    if (requirements == null) {
      requirements = TaskRequirements.of(spec);
    }
    return requirements;
  }

  /** The tasks that are done by its committed record. */
  public BitSet committedDone() {
    return committedDone;
  }

  /** The segment that holds its record, or that will hold its first one. */
  public String key() {
    return isStored() ? location.storedKey() : targetKey();
  }

  /** The segment that its record belongs in by the cluster's storage format. */
  public String targetKey() {
    return location.targetKey();
  }

  /** Whether its record is in a segment of an earlier storage format. */
  public boolean needsMigration() {
    return location.needsMigration();
  }

  /** Whether the state store has a record of it. */
  boolean isStored() {
    return location.isStored();
  }

  void setResources(JobSpec spec) {
    team = spec.team();
    cpus = spec.cpus();
    gpus = spec.gpus();
    memory = spec.memory();
  }

  /** Sets it to what the even split says, as no record is stored. */
  void resetToEvenShare(Job from) {
    setResources(from.spec());
    tasks.reset(EvenSplit.share(from.spec(), from.home(), shard, shards), new BitSet());
    committedDone = new BitSet();
  }

  /** Sets it to its record; the caller adds the attempts that are returned. */
  List<Attempt> decode(String text, long nowMicros) {
    SliceRecord stored = SliceRecord.decode(text);
    team = stored.team();
    cpus = stored.cpus();
    gpus = stored.gpus();
    memory = stored.memory();
    attemptCounter = Math.max(attemptCounter, stored.attemptCounter());
    tasks.reset(stored.assigned(), stored.done());
    committedDone = (BitSet) stored.done().clone();
    List<Attempt> attempts = new ArrayList<>(stored.attempts().size());
    for (AttemptCodec.StoredAttempt attempt : stored.attempts()) {
      attempts.add(Attempt.recovered(this, attempt, nowMicros));
    }
    return attempts;
  }

  /** Its record as it is to be stored. */
  public String encode() {
    return encode(tasks.assigned());
  }

  /** Its record with other tasks assigned. */
  public String encode(BitSet assigned) {
    List<AttemptCodec.StoredAttempt> live = new ArrayList<>();
    for (Attempt attempt : tasks.attemptsByTask().values()) {
      if (!attempt.closed()) {
        live.add(new AttemptCodec.StoredAttempt(attempt.task(), attempt.number(), attempt.host()));
      }
    }
    return new SliceRecord(team, cpus, gpus, memory, attemptCounter, assigned, tasks.done(), live)
        .encode(layout.compact());
  }

  /** How many attempt numbers have been drawn here. */
  long attemptCounter() {
    return attemptCounter;
  }

  /** Draws a number that no attempt of the job has had, in any shard. */
  public long nextAttemptNumber() {
    attemptCounter++;
    return attemptCounter * shards + shard + 1;
  }

  /** Marks a task as done. A gang is done as a whole, whatever its other machines report later. */
  public void markDone(int task, Job from) {
    if (from != null && from.spec().shape() == JobSpec.Shape.GANG) {
      tasks.markAllDone();
    } else {
      tasks.markDone(task);
    }
  }

  /** Whether a task of it is neither done nor started. */
  public boolean isPending(int task) {
    return tasks.isPending(task);
  }

  /** The first task from a number on that is neither done nor started; -1 if none. */
  public int nextPending(int from) {
    return tasks.nextPending(from);
  }

  /** How many of its tasks are neither done nor started. */
  public int pendingCount() {
    return tasks.pendingCount();
  }

  /** Adds tasks that are claimed from another slice. */
  public void assign(BitSet claimed) {
    tasks.assign(claimed);
  }

  /** Returns a task that was claimed and could not be placed. */
  public void unassign(int task) {
    tasks.unassign(task);
  }

  /** Whether starts have been decided that are not committed yet. */
  public boolean hasUncommittedStarts() {
    return tasks.hasUncommittedStarts();
  }

  /** How many of its tasks may be on a machine, by all that is known, committed or not. */
  public int liveCount() {
    return tasks.liveCount();
  }

  /**
   * How many of its tasks use quota: those that may be on a machine, and those whose ends are not
   * known to have been committed. Whoever owns the shard next may start these again.
   */
  public int occupyingCount() {
    return tasks.attemptsByTask().size();
  }

  /** Whether the end of an attempt of it waits to be committed. */
  public boolean hasUncommittedEnds() {
    return occupyingCount() > liveCount();
  }

  void addAttempt(Attempt attempt) {
    tasks.addAttempt(attempt);
  }

  void removeAttempt(Attempt attempt) {
    tasks.removeAttempt(attempt);
  }

  void clearAttempts() {
    tasks.clearAttempts();
  }

  /** Drops what was only decided, before its record, if there is one, is loaded again. */
  void beginReload(String segmentKey) {
    clearAttempts();
    pendingClaims.clear();
    reloads++;
    version++;
    dirtySinceMicros = 0;
    location.setStoredKey(segmentKey);
  }

  /** It is dropped: a commit that contains it must not take it for unchanged. */
  void discard() {
    clearAttempts();
    version++;
  }

  /** An attempt of it was closed. */
  public void invalidateCounts() {
    tasks.invalidateCounts();
  }

  /** Whether all its tasks are done. */
  public boolean isComplete() {
    return tasks.isComplete();
  }
}
