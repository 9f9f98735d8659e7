package gladeknot.tasks;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.state.Change;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/** Registry of all slices of jobs that are active or still have tasks on machines. */
public final class SliceRegistry {
  private final int shards;
  private final SegmentLayout layout;
  private final SegmentIndex segments;
  private final SegmentCapacity capacity;
  private final ZoneConstraints zones;
  private final HostDirectory hosts;
  private final SliceIntegrity integrity;

  /** Jobs whose slices were loaded since the last call of {@link #takeLoadedJobs}. */
  private final Set<String> loadedJobs = new HashSet<>();

  private final List<Map<String, Slice>> byShard = new ArrayList<>();
  private long nowMicros;

  /**
   * Creates a registry without slices.
   *
   * @param segmentSplit supplies the number of segments that each segment of the first version is
   *     split into, see {@link SegmentLayout}; called on each use
   */
  public SliceRegistry(
      int shards, IntSupplier segmentSplit, StateStore stateStore, HostDirectory hosts) {
    this.shards = shards;
    this.layout = new SegmentLayout(segmentSplit);
    this.segments = new SegmentIndex(shards, layout, stateStore);
    this.capacity = new SegmentCapacity(layout, stateStore, segments);
    this.zones = new ZoneConstraints(hosts);
    this.hosts = hosts;
    this.integrity = new SliceIntegrity(shards, segments);
    for (int shard = 0; shard < shards; shard++) {
      byShard.add(new HashMap<>());
    }
  }

  /** Advances the registry's clock, in microseconds of the steady clock. */
  public void tick(long currentMicros) {
    nowMicros = currentMicros;
  }

  /** Returns the index of the segments that the slices are loaded from. */
  public SegmentIndex segments() {
    return segments;
  }

  /** Returns the check of the invariants that every start of a task relies on. */
  public SliceIntegrity integrity() {
    return integrity;
  }

  /** Returns the jobs whose slices were loaded since the last call. */
  public Set<String> takeLoadedJobs() {
    Set<String> taken = Set.copyOf(loadedJobs);
    loadedJobs.clear();
    return taken;
  }

  /** Returns the slices of a shard; the caller must not change the collection. */
  public Collection<Slice> inShard(int shard) {
    return byShard.get(shard).values();
  }

  /** Returns a job's slice in a shard, or null if there is none. */
  public Slice get(int shard, String job) {
    return byShard.get(shard).get(job);
  }

  /** Returns whether a slice is registered, that is, has not been dropped or replaced. */
  public boolean contains(Slice slice) {
    return get(slice.shard(), slice.job()) == slice;
  }

  /** Returns the slices of a job in the order of their shards. */
  public List<Slice> ofJob(String job) {
    List<Slice> found = new ArrayList<>(shards);
    for (Map<String, Slice> slices : byShard) {
      Slice slice = slices.get(job);
      if (slice != null) {
        found.add(slice);
      }
    }
    return found;
  }

  /** Returns the number of a job's tasks, in all slices, that may be on machines of each zone. */
  public Map<String, Integer> zoneCounts(String job) {
    return zones.countByZone(ofJob(job));
  }

  /** Returns whether a job's attempts, committed or not, meet the zone constraints of the job. */
  public boolean zoneConstraintsHold(JobSpec spec) {
    if (!spec.spread() && !spec.colocated()) {
      return true;
    }
    return ZoneConstraints.satisfied(spec, zoneCounts(spec.id()));
  }

  /**
   * Updates the slices after a job was submitted, changed or has ended.
   *
   * @param job null if the job is no longer known
   */
  public void jobChanged(String id, Job job) {
    for (int shard = 0; shard < shards; shard++) {
      Slice slice = get(shard, id);
      if (job != null && job.active()) {
        if (slice == null && hasEvenShare(job, shard)) {
          load(shard, id, job);
        }
      } else if (slice != null && !slice.isStored()) {
        drop(slice);
      }
    }
  }

  /** Updates which records a segment holds. Must be called before any of them is read. */
  public void onSegmentChange(Change change) {
    segments.onSegmentChange(change);
  }

  /**
   * Returns the number of attempts that fit into a slice's segment in addition to those whose
   * starts have been decided but not committed.
   */
  public int attemptCapacity(Slice slice, int uncommittedStarts) {
    return capacity.remainingAttempts(slice, uncommittedStarts);
  }

  /**
   * Loads a slice from its stored record or, if there is no record, from the even split. Decisions
   * that are not committed are dropped. Observations of attempts that the record still lists are
   * kept.
   *
   * @param job null if the job is not active
   * @return the slice, or empty if the shard has no slice of the job
   */
  public Optional<Slice> load(int shard, String id, Job job) {
    loadedJobs.add(id);
    SegmentIndex.StoredRecord stored = segments.find(shard, id).orElse(null);
    Slice slice = get(shard, id);
    boolean active = job != null && job.active();
    if (stored == null && (!active || !hasEvenShare(job, shard))) {
      if (slice != null) {
        drop(slice);
      }
      return Optional.empty();
    }
    if (slice == null) {
      boolean unsplit =
          stored == null
              ? job.spec().unsplit()
              : SegmentLayout.holdsUnsplitJobs(stored.segmentKey());
      slice = add(unsplit, shard, id);
    }
    if (stored == null) {
      resetToEvenShare(slice, job);
    } else {
      loadRecord(slice, stored);
      if (active) {
        // Earlier versions stored rounded amounts.
        slice.setResources(job.spec());
      }
    }
    return Optional.of(slice);
  }

  private boolean hasEvenShare(Job job, int shard) {
    return !EvenSplit.share(job.spec(), job.home(), shard, shards).isEmpty();
  }

  private Slice add(boolean unsplit, int shard, String job) {
    Slice slice = new Slice(layout, unsplit, shard, shards, job);
    byShard.get(shard).put(job, slice);
    return slice;
  }

  private void resetToEvenShare(Slice slice, Job job) {
    detachAttempts(slice);
    slice.beginReload(null);
    slice.resetToEvenShare(job);
  }

  private void loadRecord(Slice slice, SegmentIndex.StoredRecord stored) {
    Map<Integer, Attempt> previous = new HashMap<>(slice.attemptsByTask());
    detachAttempts(slice);
    slice.beginReload(stored.segmentKey());
    for (Attempt attempt : slice.decode(stored.text(), nowMicros)) {
      Attempt known = previous.get(attempt.task());
      if (known != null && known.isSameStart(attempt)) {
        known.reconfirm();
        addAttempt(known);
      } else {
        addAttempt(attempt);
      }
    }
  }

  /**
   * Drops all observations of a shard's attempts; the next load reads the attempts from their
   * records. Another owner may start the same attempt on its machine again, so that an end observed
   * before that proves nothing.
   */
  public void forgetAttempts(int shard) {
    for (Slice slice : inShard(shard)) {
      detachAttempts(slice);
      slice.clearAttempts();
    }
  }

  /** Adds an empty slice for claimed tasks. */
  public Slice create(int shard, Job job) {
    Slice slice = add(job.spec().unsplit(), shard, job.id());
    slice.setResources(job.spec());
    return slice;
  }

  /** Drops a slice if it has no tasks, no attempts and no stored record. */
  public void discardIfEmpty(Slice slice) {
    if (!slice.isStored() && slice.assigned().isEmpty() && slice.attemptsByTask().isEmpty()) {
      byShard.get(slice.shard()).remove(slice.job(), slice);
    }
  }

  /** Adds an attempt whose start was decided or that was read from a record. */
  public void addAttempt(Attempt attempt) {
    attempt.slice().addAttempt(attempt);
    hosts.attach(attempt);
  }

  /** Removes an attempt whose end has been committed or whose start has not been committed. */
  public void removeAttempt(Attempt attempt) {
    attempt.slice().removeAttempt(attempt);
    hosts.detach(attempt);
  }

  private void drop(Slice slice) {
    detachAttempts(slice);
    slice.discard();
    byShard.get(slice.shard()).remove(slice.job());
  }

  private void detachAttempts(Slice slice) {
    for (Attempt attempt : slice.attempts()) {
      hosts.detach(attempt);
    }
  }
}
