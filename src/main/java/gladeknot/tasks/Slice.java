package gladeknot.tasks;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The part of a job's tasks that one shard has: which are done, which are handed out and to whom.
 *
 * <p>For shards of ours this is the working copy, ahead of its record; for others it is the record.
 */
public final class Slice {
  /** A count that has to be worked out anew. */
  private static final int UNKNOWN = -1;

  private final SegmentLayout layout;
  private final boolean unsplit;
  private final int shard;
  private final String job;
  private final int shards;
  private String team;
  private long cpus;
  private long gpus;
  private long memory;

  private final BitSet assigned = new BitSet();
  private final BitSet done = new BitSet();
  private final TreeMap<Integer, Attempt> attemptsByTask = new TreeMap<>();
  private final Map<Slice, BitSet> pendingClaims = new LinkedHashMap<>();
  private long attemptCounter;

  /** Its key by the layout, and the split that this was worked out for. */
  private String targetKey;

  private int targetSplit;

  /** The key of the segment that holds its record; null if the state store has none. */
  private String storedKey;

  private BitSet committedDone = new BitSet();
  private long version;

  /** Null until it is asked for. */
  private TaskRequirements requirements;

  private int liveCount = UNKNOWN;
  private int pending = UNKNOWN;
  private long dirtySinceMicros;
  private long backoffUntilMicros;
  private int consecutiveFailures;
  private long pendingSinceMicros;

  Slice(SegmentLayout layout, boolean unsplit, int shard, int shards, String job) {
    this.layout = layout;
    this.unsplit = unsplit;
    this.shard = shard;
    this.shards = shards;
    this.job = job;
  }

  public int shard() {
    return shard;
  }

  public String job() {
    return job;
  }

  public String team() {
    return team;
  }

  public long cpus() {
    return cpus;
  }

  public long gpus() {
    return gpus;
  }

  public long memory() {
    return memory;
  }

  public Collection<Attempt> attempts() {
    return attemptsByTask.values();
  }

  /**
   * Its attempts that are not known to have been committed as ended, by task; not to be changed.
   */
  public Map<Integer, Attempt> attemptsByTask() {
    return attemptsByTask;
  }

  /** The tasks that are this shard's to run; not to be changed. */
  public BitSet assigned() {
    return assigned;
  }

  /** The tasks that have completed, committed or not; not to be changed. */
  public BitSet done() {
    return done;
  }

  /**
   * Tasks claimed from other shards' slices, by slice, which move with the next commit; not to be
   * changed.
   */
  public Map<Slice, BitSet> pendingClaims() {
    return pendingClaims;
  }

  /** Claims tasks of another shard's slice, which move here with the next commit. */
  public void addClaim(Slice from, BitSet tasks) {
    pendingClaims.put(from, tasks);
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
    return storedKey;
  }

  /** Grows with each change, so that a commit can tell whether it contained the last one. */
  public long version() {
    return version;
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
    storedKey = segmentKey;
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

  /** The part of its shard's record that it lies in, or will with its first record. */
  public String key() {
    return isStored() ? storedKey : targetKey();
  }

  /** The part that it belongs into by the cluster's format. */
  public String targetKey() {
    int split = layout.segmentSplit();
    if (split != targetSplit) {
      targetSplit = split;
      targetKey = layout.key(shard, unsplit, job);
    }
    return targetKey;
  }

  /** Whether its record lies where it belongs by an earlier format. */
  public boolean needsMigration() {
    return isStored() && !storedKey.equals(targetKey());
  }

  /** Whether the state store has a record of it. */
  boolean isStored() {
    return storedKey != null;
  }

  void setResources(JobSpec spec) {
    team = spec.team();
    cpus = spec.cpus();
    gpus = spec.gpus();
    memory = spec.memory();
  }

  /** Sets it to what the even split says, where no record is. */
  void resetToEvenShare(Job from) {
    pending = UNKNOWN;
    setResources(from.spec());
    assigned.clear();
    assigned.or(EvenSplit.share(from.spec(), from.home(), shard, shards));
    done.clear();
    committedDone = new BitSet();
  }

  /** Sets it to its record; the attempts are returned, for the caller to take in. */
  List<Attempt> decode(String text, long nowMicros) {
    SliceRecord stored = SliceRecord.decode(text);
    pending = UNKNOWN;
    team = stored.team();
    cpus = stored.cpus();
    gpus = stored.gpus();
    memory = stored.memory();
    attemptCounter = Math.max(attemptCounter, stored.attemptCounter());
    assigned.clear();
    assigned.or(stored.assigned());
    done.clear();
    done.or(stored.done());
    committedDone = (BitSet) done.clone();
    return stored.attempts().stream()
        .map(attempt -> Attempt.recovered(this, attempt, nowMicros))
        .toList();
  }

  /** Its record as it is to be. */
  public String encode() {
    return encode(assigned);
  }

  /** Its record with other tasks assigned. */
  public String encode(BitSet tasks) {
    List<AttemptCodec.StoredAttempt> live = new ArrayList<>();
    for (Attempt a : attemptsByTask.values()) {
      if (!a.closed()) {
        live.add(new AttemptCodec.StoredAttempt(a.task(), a.number(), a.host()));
      }
    }
    return new SliceRecord(team, cpus, gpus, memory, attemptCounter, tasks, done, live)
        .encode(layout.compact());
  }

  /** How many attempt numbers have been drawn here. */
  long attemptCounter() {
    return attemptCounter;
  }

  /** A number that no attempt of the job had, in any shard. */
  public long nextAttemptNumber() {
    attemptCounter++;
    return attemptCounter * shards + shard + 1;
  }

  /** Notes a task as done. A gang completes as one, whatever its other machines can still say. */
  public void markDone(int task, Job from) {
    if (from != null && from.spec().shape() == JobSpec.Shape.GANG) {
      done.or(assigned);
    } else {
      done.set(task);
    }
    pending = UNKNOWN;
  }

  public boolean isPending(int task) {
    return assigned.get(task) && !done.get(task) && !attemptsByTask.containsKey(task);
  }

  /** The first task from a number on that is neither done nor handed out; -1 if none. */
  public int nextPending(int from) {
    for (int t = assigned.nextSetBit(from); t >= 0; t = assigned.nextSetBit(t + 1)) {
      if (!done.get(t) && !attemptsByTask.containsKey(t)) {
        return t;
      }
    }
    return -1;
  }

  /** How many of its tasks are neither done nor handed out. */
  public int pendingCount() {
    // Asked for at every look at what waits, in all shards.
    if (pending < 0) {
      // Attempts are always of assigned tasks that are not done, but for those that just finished.
      int open = 0;
      for (Attempt a : attemptsByTask.values()) {
        if (!done.get(a.task())) {
          open++;
        }
      }
      pending = assigned.cardinality() - done.cardinality() - open;
    }
    return pending;
  }

  /** Takes tasks over from another slice. */
  public void assign(BitSet tasks) {
    assigned.or(tasks);
    pending = UNKNOWN;
  }

  /** Lets go of tasks that were taken over and found no room. */
  public void unassign(int task) {
    assigned.clear(task);
    pending = UNKNOWN;
  }

  /** Whether starts have been decided that are not committed yet. */
  public boolean hasUncommittedStarts() {
    return attemptsByTask.values().stream().anyMatch(a -> !a.closed() && !a.committed());
  }

  /** Tasks that may be on a machine. */
  public int liveCount() {
    // Asked for at every look at what teams use, and changed seldom.
    if (liveCount < 0) {
      liveCount = 0;
      for (Attempt a : attemptsByTask.values()) {
        liveCount += a.closed() ? 0 : 1;
      }
    }
    return liveCount;
  }

  void addAttempt(Attempt attempt) {
    invalidateCounts();
    attemptsByTask.put(attempt.task(), attempt);
  }

  void removeAttempt(Attempt attempt) {
    invalidateCounts();
    attemptsByTask.remove(attempt.task(), attempt);
  }

  void clearAttempts() {
    attemptsByTask.clear();
    invalidateCounts();
  }

  /** Drops what was only decided, before its record, if there is one, is read anew. */
  void beginReload(String segmentKey) {
    clearAttempts();
    pendingClaims.clear();
    version++;
    dirtySinceMicros = 0;
    storedKey = segmentKey;
  }

  /** It is dropped: a commit that contains it must not take it for unchanged. */
  void discard() {
    clearAttempts();
    version++;
  }

  /** An attempt has ended. */
  public void invalidateCounts() {
    liveCount = UNKNOWN;
    pending = UNKNOWN;
  }

  public boolean isComplete() {
    return done.cardinality() == assigned.cardinality();
  }
}
