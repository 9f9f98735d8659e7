package gladeknot.placement;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.ledger.Ledger;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerBook;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** All slices of jobs that go on or still have tasks on machines. */
public final class SliceBook {
  private final int shards;
  private final Ledger ledger;
  private final WorkerBook workers;
  private final IntPredicate owned;
  private final List<Map<String, Slice>> byShard = new ArrayList<>();
  private long nowMicros;

  public SliceBook(int shards, Ledger ledger, WorkerBook workers, IntPredicate owned) {
    this.shards = shards;
    this.ledger = ledger;
    this.workers = workers;
    this.owned = owned;
    for (int i = 0; i < shards; i++) {
      byShard.add(new HashMap<>());
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

  /** The stamp that the followed copy has for a record. */
  long recordStamp(String key) {
    return ledger.stamp(key);
  }

  /** A job has begun, changed or ended. */
  void jobChanged(String id, Job job) {
    for (int shard = 0; shard < shards; shard++) {
      Slice s = get(shard, id);
      if (job != null && job.active()) {
        if (s == null && !Slice.share(job.spec(), job.home(), shard, shards).isEmpty()) {
          load(shard, id, job);
        }
      } else if (s != null && s.stamp == 0) {
        drop(s);
      }
    }
  }

  /** A record has changed; for working copies the caller decides when to reload. */
  void recordChanged(int shard, String id, Job job) {
    Slice s = get(shard, id);
    if (s == null || s.stamp < ledger.stamp(Slice.key(shard, id)) || !owned.test(shard)) {
      load(shard, id, job);
    }
  }

  /** Reads a slice anew from the copy, keeping what is known of attempts that are still in it. */
  Slice load(int shard, String id, Job job) {
    Slice s = get(shard, id);
    Ledger.Entry entry = ledger.get(Slice.key(shard, id));
    boolean active = job != null && job.active();
    if (entry == null
        && (!active || Slice.share(job.spec(), job.home(), shard, shards).isEmpty())) {
      if (s != null) {
        drop(s);
      }
      return null;
    }
    if (s == null) {
      s = new Slice(shard, shards, id);
      byShard.get(shard).put(id, s);
    }
    Map<Integer, Attempt> before = new HashMap<>(s.out);
    s.out.values().forEach(workers::remove);
    s.out.clear();
    s.claims.clear();
    s.version++;
    if (entry == null) {
      s.reset(job);
      return s;
    }
    for (Attempt a : s.read(entry, nowMicros)) {
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

  /** An empty slice, to take claimed tasks. */
  Slice create(int shard, Job job) {
    Slice s = new Slice(shard, shards, job.id());
    s.usage(job.spec());
    byShard.get(shard).put(job.id(), s);
    return s;
  }

  void discardIfEmpty(Slice s) {
    if (s.stamp == 0 && s.assigned.isEmpty() && s.out.isEmpty()) {
      byShard.get(s.shard()).remove(s.job(), s);
    }
  }

  void put(Attempt a) {
    a.slice().out.put(a.task(), a);
    workers.put(a);
  }

  void remove(Attempt a) {
    a.slice().out.remove(a.task(), a);
    workers.remove(a);
  }

  private void drop(Slice s) {
    s.out.values().forEach(workers::remove);
    s.out.clear();
    s.version++;
    byShard.get(s.shard()).remove(s.job());
  }
}
