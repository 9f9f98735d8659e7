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

/** All slices of jobs that are active or still have tasks on machines. */
public final class SliceRegistry {
  private final int shards;
  private final SegmentLayout layout;
  private final SegmentIndex segments;
  private final SegmentCapacity capacity;
  private final ZoneConstraints zones;
  private final HostDirectory hosts;
  private final SliceIntegrity integrity;

  /** The jobs whose slices were loaded since this was asked last. */
  private final Set<String> loadedJobs = new HashSet<>();

  private final List<Map<String, Slice>> byShard = new ArrayList<>();
  private long nowMicros;

  /**
   * A registry without slices.
   *
   * @param segmentSplit is asked each time, see {@link SegmentLayout}
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
  public void tick(long now) {
    nowMicros = now;
  }

  /** The segments that the slices are loaded from. */
  public SegmentIndex segments() {
    return segments;
  }

  /** What every start of a task relies on. */
  public SliceIntegrity integrity() {
    return integrity;
  }

  /** The jobs whose slices were loaded since the last call. */
  public Set<String> takeLoadedJobs() {
    Set<String> taken = Set.copyOf(loadedJobs);
    loadedJobs.clear();
    return taken;
  }

  /** The slices of a shard; not to be changed. */
  public Collection<Slice> inShard(int shard) {
    return byShard.get(shard).values();
  }

  /** A job's slice in a shard; null if it has none there. */
  public Slice get(int shard, String job) {
    return byShard.get(shard).get(job);
  }

  /** Whether a slice has not been dropped or replaced. */
  public boolean contains(Slice slice) {
    return get(slice.shard(), slice.job()) == slice;
  }

  /** The slices of a job, in the order of their shards. */
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

  /** How many of a job's tasks may be on machines of each zone, in whichever slice. */
  public Map<String, Integer> zoneCounts(String job) {
    return zones.countByZone(ofJob(job));
  }

  /** Whether a job's attempts, committed or only decided, meet its zone constraints. */
  public boolean zoneConstraintsHold(JobSpec spec) {
    if (!spec.spread() && !spec.colocated()) {
      return true;
    }
    return ZoneConstraints.hold(spec, zoneCounts(spec.id()));
  }

  /** A job was submitted, changed or has ended; null if it is not known any more. */
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

  /** Takes in which records a segment holds, before any of them is read. */
  public void onSegmentChange(Change change) {
    segments.onSegmentChange(change);
  }

  /** How many more attempts fit into the segment that a slice belongs in. */
  public int attemptCapacity(Slice slice, int undecided) {
    return capacity.remainingAttempts(slice, undecided);
  }

  /**
   * Loads a slice from its stored record, or by the even split if it has none. What was only
   * decided is dropped; what was observed of attempts that the record still holds is kept.
   *
   * @param job null if the job is not active
   * @return empty if the shard has no slice of the job
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
      read(slice, stored);
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

  private void read(Slice slice, SegmentIndex.StoredRecord stored) {
    Map<Integer, Attempt> before = new HashMap<>(slice.attemptsByTask());
    detachAttempts(slice);
    slice.beginReload(stored.segmentKey());
    for (Attempt attempt : slice.decode(stored.text(), nowMicros)) {
      Attempt known = before.get(attempt.task());
      if (known != null && known.isSameStart(attempt)) {
        known.reconfirm();
        addAttempt(known);
      } else {
        addAttempt(attempt);
      }
    }
  }

  /**
   * Forgets what was observed of a shard's attempts; the next load reads them from their records.
   * Another owner may start the same attempt again on its machine, so that an end seen before
   * proves nothing.
   */
  public void forgetAttempts(int shard) {
    for (Slice slice : inShard(shard)) {
      detachAttempts(slice);
      slice.clearAttempts();
    }
  }

  /** Adds an empty slice, to take claimed tasks. */
  public Slice create(int shard, Job job) {
    Slice slice = add(job.spec().unsplit(), shard, job.id());
    slice.setResources(job.spec());
    return slice;
  }

  /** Drops a slice that has neither tasks nor a stored record. */
  public void discardIfEmpty(Slice slice) {
    if (!slice.isStored() && slice.assigned().isEmpty() && slice.attemptsByTask().isEmpty()) {
      byShard.get(slice.shard()).remove(slice.job(), slice);
    }
  }

  /** Adds a start that was decided or read from a record. */
  public void addAttempt(Attempt attempt) {
    attempt.slice().addAttempt(attempt);
    hosts.attach(attempt);
  }

  /** Removes an attempt whose end is committed, or whose start never was. */
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
