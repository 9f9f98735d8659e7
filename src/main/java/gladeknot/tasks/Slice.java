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
 * The tasks of a job that are assigned to one shard, with the completed tasks and the attempts.
 *
 * <p>For a shard that this controller owns, the slice is a working copy that may be ahead of the
 * stored record. For other shards, it reflects the stored record.
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

  /** Computed on first use; null before. */
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

  /** Returns the shard that the tasks are assigned to. */
  public int shard() {
    return shard;
  }

  /** Returns the id of the job. */
  public String job() {
    return job;
  }

  /** Returns the team of the job, whose quota the attempts use. */
  public String team() {
    return team;
  }

  /** Returns the CPUs of one task, in billionths. */
  public long cpus() {
    return cpus;
  }

  /** Returns the GPUs of one task, in billionths. */
  public long gpus() {
    return gpus;
  }

  /** Returns the memory of one task, in billionths of a GB. */
  public long memory() {
    return memory;
  }

  /** Returns the attempts whose ends are not known to be committed; read-only for callers. */
  public Collection<Attempt> attempts() {
    return tasks.attemptsByTask().values();
  }

  /** Returns the attempts whose ends are not known to be committed, by task; read-only. */
  public Map<Integer, Attempt> attemptsByTask() {
    return tasks.attemptsByTask();
  }

  /** Returns the tasks that are assigned to the shard; read-only for callers. */
  public BitSet assigned() {
    return tasks.assigned();
  }

  /** Returns the completed tasks, whether or not this is committed; read-only for callers. */
  public BitSet done() {
    return tasks.done();
  }

  /**
   * Returns the tasks that are claimed from other shards' slices, by source slice; read-only for
   * callers. They move to this slice with the next commit.
   */
  public Map<Slice, BitSet> pendingClaims() {
    return pendingClaims;
  }

  /** Claims tasks of another shard's slice. They move to this slice with the next commit. */
  public void addClaim(Slice from, BitSet claimed) {
    pendingClaims.put(from, claimed);
  }

  /** Removes the claim on a slice's tasks after it has been committed. */
  public void removeClaim(Slice from) {
    pendingClaims.remove(from);
  }

  /** Drops all claims that have not been committed. */
  public void dropClaims() {
    pendingClaims.clear();
  }

  /** Returns the key of the segment that holds the record; null if no record is stored. */
  public String storedKey() {
    return location.storedKey();
  }

  /** Returns the version; each change increments it, so that a commit detects later changes. */
  public long version() {
    return version;
  }

  /** Returns the number of reloads; shows whether an outcome concerns the current contents. */
  public long reloads() {
    return reloads;
  }

  /** Returns the time since which there have been changes to commit, or 0 if there are none. */
  public long dirtySinceMicros() {
    return dirtySinceMicros;
  }

  /** Records a change that has to be committed. */
  public void markDirty(long nowMicros) {
    version++;
    if (dirtySinceMicros == 0) {
      dirtySinceMicros = nowMicros;
    }
  }

  /** Records that all changes have been committed. */
  public void markClean() {
    dirtySinceMicros = 0;
  }

  /** Records that the record was written to a segment with the given tasks completed. */
  public void markStored(String segmentKey, BitSet storedDone) {
    location.setStoredKey(segmentKey);
    committedDone = storedDone;
  }

  /** Returns the time before which no task of the slice may start. */
  public long backoffUntilMicros() {
    return backoffUntilMicros;
  }

  /** Prevents tasks of the slice from starting before a time. */
  public void backOffUntil(long micros) {
    backoffUntilMicros = micros;
  }

  /** Counts a failed task; returns the number of failures since a task last completed. */
  public int countFailure() {
    consecutiveFailures++;
    return consecutiveFailures;
  }

  /** Resets the number of failures after a task has completed. */
  public void resetFailures() {
    consecutiveFailures = 0;
  }

  /** Returns the time since which tasks that could start have been waiting; 0 if none are. */
  public long pendingSinceMicros() {
    return pendingSinceMicros;
  }

  /** Records that tasks are waiting to start; keeps the time since which some already were. */
  public void markPending(long nowMicros) {
    if (pendingSinceMicros == 0) {
      pendingSinceMicros = nowMicros;
    }
  }

  /** Records that no task is waiting to start. */
  public void clearPending() {
    pendingSinceMicros = 0;
  }

  /** Returns the requirements of the tasks, which are computed once. */
  public TaskRequirements requirements(JobSpec spec) {
    if (requirements == null) {
      requirements = TaskRequirements.of(spec);
    }
    return requirements;
  }

  /** Returns the tasks that are completed according to the committed record. */
  public BitSet committedDone() {
    return committedDone;
  }

  /** Returns the key of the segment that holds the record or will hold the first record. */
  public String key() {
    return isStored() ? location.storedKey() : targetKey();
  }

  /** Returns the key of the segment that the record belongs to in the cluster's storage format. */
  public String targetKey() {
    return location.targetKey();
  }

  /** Returns whether the record is in a segment of an earlier storage format. */
  public boolean needsMigration() {
    return location.needsMigration();
  }

  /** Returns whether the state service has a record of the slice. */
  boolean isStored() {
    return location.isStored();
  }

  void setResources(JobSpec spec) {
    team = spec.team();
    cpus = spec.cpus();
    gpus = spec.gpus();
    memory = spec.memory();
  }

  /** Resets the slice to the even split, because no record is stored. */
  void resetToEvenShare(Job activeJob) {
    setResources(activeJob.spec());
    tasks.reset(EvenSplit.share(activeJob.spec(), activeJob.home(), shard, shards), new BitSet());
    committedDone = new BitSet();
  }

  /** Resets the slice to a stored record; the caller adds the returned attempts. */
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

  /** Returns the record to store. */
  public String encode() {
    return encode(tasks.assigned());
  }

  /** Returns the record to store, with the given tasks as the assigned ones. */
  public String encode(BitSet assigned) {
    List<AttemptCodec.StoredAttempt> live = new ArrayList<>();
    for (Attempt attempt : tasks.attemptsByTask().values()) {
      if (!attempt.closed()) {
        live.add(new AttemptCodec.StoredAttempt(attempt.task(), attempt.number(), attempt.host()));
      }
    }
    return new SliceRecord(team, cpus, gpus, memory, attemptCounter, assigned, tasks.done(), live)
        .encode(layout.allowsCompactForm());
  }

  /** Returns how many attempt numbers this slice has assigned. */
  long attemptCounter() {
    return attemptCounter;
  }

  /** Returns a new attempt number, which is unique within the job across all shards. */
  public long nextAttemptNumber() {
    attemptCounter++;
    return attemptCounter * shards + shard + 1;
  }

  /**
   * Marks a task as completed. A gang is marked as completed as a whole, whatever its other
   * machines report later. The job is null if it is not active.
   */
  public void markDone(int task, Job activeJob) {
    if (activeJob != null && activeJob.spec().shape() == JobSpec.Shape.GANG) {
      tasks.markAllDone();
    } else {
      tasks.markDone(task);
    }
  }

  /** Returns whether a task of the slice is neither completed nor started. */
  public boolean isPending(int task) {
    return tasks.isPending(task);
  }

  /** Returns the first task from a number on that is neither completed nor started; -1 if none. */
  public int nextPending(int from) {
    return tasks.nextPending(from);
  }

  /** Returns the number of tasks that are neither completed nor started. */
  public int pendingCount() {
    return tasks.pendingCount();
  }

  /** Assigns tasks that are claimed from another slice. */
  public void assign(BitSet claimed) {
    tasks.assign(claimed);
  }

  /** Removes a task that was claimed but could not be placed. */
  public void unassign(int task) {
    tasks.unassign(task);
  }

  /** Returns whether there are starts that have been decided but not committed. */
  public boolean hasUncommittedStarts() {
    return tasks.hasUncommittedStarts();
  }

  /** Returns the number of tasks that may be on a machine as far as known, committed or not. */
  public int liveCount() {
    return tasks.liveCount();
  }

  /**
   * Returns the number of tasks that use quota. These are the tasks that may be on a machine and
   * the tasks whose ends are not known to be committed: the next owner of the shard may start the
   * latter again.
   */
  public int occupyingCount() {
    return tasks.attemptsByTask().size();
  }

  /** Returns whether there are ends of attempts that are not committed. */
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

  /** Drops uncommitted decisions before a reload; the key is null if no record is stored. */
  void beginReload(String segmentKey) {
    clearAttempts();
    pendingClaims.clear();
    reloads++;
    version++;
    dirtySinceMicros = 0;
    location.setStoredKey(segmentKey);
  }

  /** Discards the slice; the new version keeps a commit from treating it as unchanged. */
  void discard() {
    clearAttempts();
    version++;
  }

  /** Invalidates the cached counts after an attempt was closed. */
  public void invalidateCounts() {
    tasks.invalidateCounts();
  }

  /** Returns whether all assigned tasks are completed. */
  public boolean isComplete() {
    return tasks.isComplete();
  }
}
