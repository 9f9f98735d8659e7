package gladeknot.placement;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.state.StateStore;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/** All slices of jobs that go on or still have tasks on machines. */
public final class SliceRegistry {
  /** Quotes, colon and comma of a field. */
  static final int FIELD_BYTES = 6;

  /** What one more attempt takes at most, mostly, in either form of a record. */
  private static final int PLAIN_ATTEMPT_BYTES = 30;

  private static final int COMPACT_ATTEMPT_BYTES = 9;

  /** Room kept in a part for what else it comes to hold: bytes, and one such share of the part. */
  private static final int MOST_OVERHEAD = 1000;

  private static final int OVERHEAD_SHARE = 4;

  private final int shards;
  private final RecordLayout layout;
  private final StateStore stateStore;
  private final WorkerRegistry workers;
  private final List<Map<String, Slice>> byShard = new ArrayList<>();

  /** The parts of records from which the slices were loaded. */
  private final Map<String, Map<String, Object>> seen = new HashMap<>();

  private record Sized(Map<String, Object> data, int bytes) {}

  private final Map<String, Sized> sizes = new HashMap<>();

  private long nowMicros;

  /** Which part holds a job's record, by shard and job. */
  private final List<Map<String, String>> recordKeys = new ArrayList<>();

  /** A registry without slices; {@code partSplit} is asked each time, see {@link RecordLayout}. */
  public SliceRegistry(
      int shards, IntSupplier partSplit, StateStore stateStore, WorkerRegistry workers) {
    this.shards = shards;
    this.layout = new RecordLayout(partSplit);
    this.stateStore = stateStore;
    this.workers = workers;
    for (int i = 0; i < shards; i++) {
      byShard.add(new HashMap<>());
      recordKeys.add(new HashMap<>());
    }
  }

  public void tick(long now) {
    nowMicros = now;
  }

  public Collection<Slice> of(int shard) {
    return byShard.get(shard).values();
  }

  public Slice get(int shard, String job) {
    return byShard.get(shard).get(job);
  }

  /** The slices of a job, in the order of their shards. */
  public List<Slice> of(String job) {
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
  Map<String, Integer> zoneCounts(String job) {
    Map<String, Integer> counts = new HashMap<>();
    for (Slice s : of(job)) {
      for (Attempt a : s.out.values()) {
        Worker w = workers.get(a.host());
        if (!a.closed && w != null) {
          counts.merge(w.zone(), 1, Integer::sum);
        }
      }
    }
    return counts;
  }

  /** Whether the tasks that are out, and those decided on, are where their job allows them. */
  boolean zonesStand(JobSpec spec) {
    if (!spec.scatter() && !spec.together()) {
      return true;
    }
    Map<String, Integer> counts = zoneCounts(spec.id());
    return (!spec.together() || counts.size() <= 1)
        && (!spec.scatter() || counts.values().stream().allMatch(n -> n <= spec.perZone()));
  }

  /** A job has begun, changed or ended. */
  void jobChanged(String id, Job job) {
    for (int shard = 0; shard < shards; shard++) {
      Slice s = get(shard, id);
      if (job != null && job.active()) {
        if (s == null && !Slice.share(job.spec(), job.home(), shard, shards).isEmpty()) {
          load(shard, id, job);
        }
      } else if (s != null && !s.recorded()) {
        drop(s);
      }
    }
  }

  /** Hears of a slice whose record is not what it was loaded from. */
  interface Changed {
    void changed(String key, int shard, String id);
  }

  /** Takes in which records a part holds, before any of them is read. */
  public void partChanged(StateStore.Change change) {
    String key = change.key();
    Map<String, String> keys = recordKeys.get(Slice.shardOf(key));
    Map<String, Object> before = change.before() == null ? Map.of() : change.before().data();
    Map<String, Object> now = change.now() == null ? Map.of() : change.now().data();
    for (String id : before.keySet()) {
      if (!now.containsKey(id)) {
        keys.remove(id, key);
      }
    }
    now.keySet().forEach(id -> keys.put(id, key));
  }

  /** Looks for slices whose records in a part differ from what was seen of it last. */
  void sync(String key, Changed changed) {
    Map<String, Object> before = seen.getOrDefault(key, Map.of());
    Map<String, Object> now = data(key);
    if (before == now) {
      return;
    }
    seen.put(key, now);
    int shard = Slice.shardOf(key);
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
  void wrote(String key, Map<String, Object> data) {
    seen.put(key, data);
  }

  /** A part of a shard's record as the followed copy has it: records by job. */
  Map<String, Object> data(String key) {
    StateStore.Entry entry = stateStore.get(key);
    return entry == null ? Map.of() : entry.data();
  }

  /** How many more attempts the part that a slice belongs into has room for. */
  int attemptRoom(Slice s, int undecided) {
    int most = stateStore.limits().valueBytes();
    int each = layout.compact() ? COMPACT_ATTEMPT_BYTES : PLAIN_ATTEMPT_BYTES;
    int overhead = Math.min(MOST_OVERHEAD, most / OVERHEAD_SHARE);
    int used = overhead + bytes(s.wantedKey()) + each * undecided;
    return Math.max(0, (most - used) / each);
  }

  /** About how many bytes a part takes. */
  int bytes(String key) {
    Map<String, Object> data = data(key);
    Sized known = sizes.get(key);
    if (known == null || known.data() != data) {
      known = new Sized(data, bytes(data));
      sizes.put(key, known);
    }
    return known.bytes();
  }

  static int bytes(Map<String, Object> data) {
    int sum = 0;
    for (Map.Entry<String, Object> e : data.entrySet()) {
      sum += e.getKey().length() + ((String) e.getValue()).length() + FIELD_BYTES;
    }
    return sum;
  }

  /** Reads a slice anew from the copy, keeping what is known of attempts that are still in it. */
  Slice load(int shard, String id, Job job) {
    Slice s = get(shard, id);
    String key = recordKeys.get(shard).get(id);
    String record = key == null ? null : (String) data(key).get(id);
    boolean active = job != null && job.active();
    if (record == null
        && (!active || Slice.share(job.spec(), job.home(), shard, shards).isEmpty())) {
      if (s != null) {
        drop(s);
      }
      return null;
    }
    if (s == null) {
      boolean whole = record == null ? job.spec().whole() : RecordLayout.isWhole(key);
      s = new Slice(layout, whole, shard, shards, id);
      byShard.get(shard).put(id, s);
    }
    Map<Integer, Attempt> before = new HashMap<>(s.out);
    s.out.values().forEach(workers::remove);
    s.out.clear();
    s.outChanged();
    s.claims.clear();
    s.version++;
    s.dirtySinceMicros = 0;
    s.recordedKey = record == null ? null : key;
    if (record == null) {
      s.reset(job);
      return s;
    }
    for (Attempt a : s.read(record, nowMicros)) {
      Attempt old = before.get(a.task());
      boolean same = old != null && old.number() == a.number() && old.host().equals(a.host());
      if (same) {
        old.committed = true;
        if (old.lapsed) {
          // The commit of its end failed: whether the lease has lapsed is looked at anew.
          old.lapsed = false;
          old.closed = false;
        }
      }
      put(same ? old : a);
    }
    return s;
  }

  /**
   * Forgets what was seen of a shard's attempts, keeping what their records say: another owner may
   * start the same attempt once more on its machine, so that an end seen before proves nothing.
   */
  void forgetAttempts(int shard) {
    for (Slice s : of(shard)) {
      s.out.values().forEach(workers::remove);
      s.out.clear();
      s.outChanged();
    }
  }

  /** An empty slice, to take claimed tasks. */
  Slice create(int shard, Job job) {
    Slice s = new Slice(layout, job.spec().whole(), shard, shards, job.id());
    s.usage(job.spec());
    byShard.get(shard).put(job.id(), s);
    return s;
  }

  void discardIfEmpty(Slice s) {
    if (!s.recorded() && s.assigned.isEmpty() && s.out.isEmpty()) {
      byShard.get(s.shard()).remove(s.job(), s);
    }
  }

  void put(Attempt a) {
    a.slice().outChanged();
    a.slice().out.put(a.task(), a);
    workers.put(a);
  }

  void remove(Attempt a) {
    a.slice().outChanged();
    a.slice().out.remove(a.task(), a);
    workers.remove(a);
  }

  private void drop(Slice s) {
    s.out.values().forEach(workers::remove);
    s.out.clear();
    s.outChanged();
    s.version++;
    byShard.get(s.shard()).remove(s.job());
  }
}
