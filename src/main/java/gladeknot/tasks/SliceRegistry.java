package gladeknot.tasks;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.state.Change;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/** All slices of jobs that go on or still have tasks on machines. */
public final class SliceRegistry {
  /** Quotes, colon and comma of a field. */
  public static final int FIELD_BYTES = 6;

  /** What one more attempt takes at most, mostly, in either form of a record. */
  private static final int PLAIN_ATTEMPT_BYTES = 30;

  private static final int COMPACT_ATTEMPT_BYTES = 9;

  /** Room kept in a part for what else it comes to hold: bytes, and one such share of the part. */
  private static final int MAX_OVERHEAD = 1000;

  private static final int OVERHEAD_SHARE = 4;

  private final int shards;
  private final SegmentLayout layout;
  private final StateStore stateStore;
  private final HostDirectory hosts;
  private final List<Map<String, Slice>> byShard = new ArrayList<>();

  /** The parts of records from which the slices were loaded. */
  private final Map<String, Map<String, Object>> lastSeenSegments = new HashMap<>();

  private record Sized(Map<String, Object> data, int bytes) {}

  private final Map<String, Sized> sizes = new HashMap<>();

  private long nowMicros;

  /** Which part holds a job's record, by shard and job. */
  private final List<Map<String, String>> recordKeys = new ArrayList<>();

  /** A registry without slices; {@code partSplit} is asked each time, see {@link SegmentLayout}. */
  public SliceRegistry(
      int shards, IntSupplier partSplit, StateStore stateStore, HostDirectory hosts) {
    this.shards = shards;
    this.layout = new SegmentLayout(partSplit);
    this.stateStore = stateStore;
    this.hosts = hosts;
    for (int i = 0; i < shards; i++) {
      byShard.add(new HashMap<>());
      recordKeys.add(new HashMap<>());
    }
  }

  public void tick(long now) {
    nowMicros = now;
  }

  public Collection<Slice> inShard(int shard) {
    return byShard.get(shard).values();
  }

  public Slice get(int shard, String job) {
    return byShard.get(shard).get(job);
  }

  /** The slices of a job, in the order of their shards. */
  public List<Slice> ofJob(String job) {
    List<Slice> found = new ArrayList<>(shards);
    for (Map<String, Slice> map : byShard) {
      Slice s = map.get(job);
      if (s != null) {
        found.add(s);
      }
    }
    return found;
  }

  /** How many of a job's tasks may be on machines of each zone, in whichever slice. */
  public Map<String, Integer> zoneCounts(String job) {
    Map<String, Integer> counts = new HashMap<>();
    for (Slice s : ofJob(job)) {
      for (Attempt a : s.attemptsByTask().values()) {
        String zone = hosts.zone(a.host());
        if (!a.closed() && zone != null) {
          counts.merge(zone, 1, Integer::sum);
        }
      }
    }
    return counts;
  }

  /** Whether the tasks that are out, and those decided on, are where their job allows them. */
  public boolean zoneConstraintsHold(JobSpec spec) {
    if (!spec.spread() && !spec.colocated()) {
      return true;
    }
    Map<String, Integer> counts = zoneCounts(spec.id());
    return (!spec.colocated() || counts.size() <= 1)
        && (!spec.spread() || counts.values().stream().allMatch(n -> n <= spec.maxPerZone()));
  }

  /** A job has begun, changed or ended. */
  public void jobChanged(String id, Job job) {
    for (int shard = 0; shard < shards; shard++) {
      Slice s = get(shard, id);
      if (job != null && job.active()) {
        if (s == null && !EvenSplit.share(job.spec(), job.home(), shard, shards).isEmpty()) {
          load(shard, id, job);
        }
      } else if (s != null && !s.isStored()) {
        drop(s);
      }
    }
  }

  /** Hears of a slice whose record is not what it was loaded from. */
  public interface Changed {
    void changed(String key, int shard, String id);
  }

  /** Takes in which records a part holds, before any of them is read. */
  public void onSegmentChange(Change change) {
    String key = change.key();
    Map<String, String> keys = recordKeys.get(SegmentLayout.shardOf(key));
    Map<String, Object> before = change.before() == null ? Map.of() : change.before().data();
    Map<String, Object> now = change.after() == null ? Map.of() : change.after().data();
    for (String id : before.keySet()) {
      if (!now.containsKey(id)) {
        keys.remove(id, key);
      }
    }
    now.keySet().forEach(id -> keys.put(id, key));
  }

  /** Looks for slices whose records in a part differ from what was seen of it last. */
  public void detectChanges(String key, Changed changed) {
    Map<String, Object> before = lastSeenSegments.getOrDefault(key, Map.of());
    Map<String, Object> now = segment(key);
    if (before == now) {
      return;
    }
    lastSeenSegments.put(key, now);
    int shard = SegmentLayout.shardOf(key);
    List<String> ids = new ArrayList<>();
    now.forEach(
        (id, text) -> {
          if (!text.equals(before.get(id))) {
            ids.add(id);
          }
        });
    for (String id : before.keySet()) {
      if (!now.containsKey(id)) {
        ids.add(id);
      }
    }
    ids.forEach(id -> changed.changed(key, shard, id));
  }

  /** A part is now what was written to it. */
  public void onSegmentWritten(String key, Map<String, Object> data) {
    lastSeenSegments.put(key, data);
  }

  /** A part of a shard's record as the followed copy has it: records by job. */
  public Map<String, Object> segment(String key) {
    Entry entry = stateStore.get(key);
    return entry == null ? Map.of() : entry.data();
  }

  /** How many more attempts the part that a slice belongs into has room for. */
  public int attemptCapacity(Slice s, int undecided) {
    int most = stateStore.limits().maxValueBytes();
    int each = layout.compact() ? COMPACT_ATTEMPT_BYTES : PLAIN_ATTEMPT_BYTES;
    int overhead = Math.min(MAX_OVERHEAD, most / OVERHEAD_SHARE);
    int used = overhead + bytes(s.targetKey()) + each * undecided;
    return Math.max(0, (most - used) / each);
  }

  /** About how many bytes a part takes. */
  public int bytes(String key) {
    Map<String, Object> data = segment(key);
    Sized known = sizes.get(key);
    if (known == null || known.data() != data) {
      known = new Sized(data, bytes(data));
      sizes.put(key, known);
    }
    return known.bytes();
  }

  /** About how many bytes a segment's fields take. */
  public static int bytes(Map<String, Object> data) {
    int sum = 0;
    for (Map.Entry<String, Object> e : data.entrySet()) {
      sum += e.getKey().length() + ((String) e.getValue()).length() + FIELD_BYTES;
    }
    return sum;
  }

  /** Reads a slice anew from the copy, keeping what is known of attempts that are still in it. */
  public Slice load(int shard, String id, Job job) {
    Slice s = get(shard, id);
    String key = recordKeys.get(shard).get(id);
    String record = key == null ? null : (String) segment(key).get(id);
    boolean active = job != null && job.active();
    if (record == null
        && (!active || EvenSplit.share(job.spec(), job.home(), shard, shards).isEmpty())) {
      if (s != null) {
        drop(s);
      }
      return null;
    }
    if (s == null) {
      boolean whole = record == null ? job.spec().unsplit() : SegmentLayout.isWhole(key);
      s = new Slice(layout, whole, shard, shards, id);
      byShard.get(shard).put(id, s);
    }
    Map<Integer, Attempt> before = new HashMap<>(s.attemptsByTask());
    s.attempts().forEach(hosts::detach);
    s.beginReload(record == null ? null : key);
    if (record == null) {
      s.resetToEvenShare(job);
      return s;
    }
    for (Attempt a : s.decode(record, nowMicros)) {
      Attempt old = before.get(a.task());
      boolean same = old != null && old.number() == a.number() && old.host().equals(a.host());
      if (same) {
        old.reconfirm();
      }
      addAttempt(same ? old : a);
    }
    return s;
  }

  /**
   * Forgets what was seen of a shard's attempts, keeping what their records say: another owner may
   * start the same attempt once more on its machine, so that an end seen before proves nothing.
   */
  public void forgetAttempts(int shard) {
    for (Slice s : inShard(shard)) {
      s.attempts().forEach(hosts::detach);
      s.clearAttempts();
    }
  }

  /** An empty slice, to take claimed tasks. */
  public Slice create(int shard, Job job) {
    Slice s = new Slice(layout, job.spec().unsplit(), shard, shards, job.id());
    s.setResources(job.spec());
    byShard.get(shard).put(job.id(), s);
    return s;
  }

  /** Drops a slice that has neither tasks nor a stored record. */
  public void discardIfEmpty(Slice s) {
    if (!s.isStored() && s.assigned().isEmpty() && s.attemptsByTask().isEmpty()) {
      byShard.get(s.shard()).remove(s.job(), s);
    }
  }

  /** Notes a start that was decided. */
  public void addAttempt(Attempt a) {
    a.slice().addAttempt(a);
    hosts.attach(a);
  }

  /** Forgets an attempt whose end is committed, or whose start never was. */
  public void removeAttempt(Attempt a) {
    a.slice().removeAttempt(a);
    hosts.detach(a);
  }

  private void drop(Slice s) {
    s.attempts().forEach(hosts::detach);
    s.discard();
    byShard.get(s.shard()).remove(s.job());
  }
}
