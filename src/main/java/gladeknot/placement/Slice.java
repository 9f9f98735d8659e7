package gladeknot.placement;

import gladeknot.http.Json;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.ledger.Ledger;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The part of a job's tasks that one shard has: which are done, which are handed out and to whom.
 *
 * <p>For shards of ours this is the working copy, ahead of its record; for others it is the record.
 */
public final class Slice {
  public static final String KEYS = Ledger.ROOT + "sl/";

  private final int shard;
  private final String job;
  private final int shards;
  private String team;
  private long cpus;
  private long gpus;
  private long memory;

  final BitSet assigned = new BitSet();
  final BitSet done = new BitSet();
  final TreeMap<Integer, Attempt> out = new TreeMap<>();

  /** Tasks taken from other shards' slices, by slice; they move with the next commit. */
  final Map<Slice, BitSet> claims = new java.util.LinkedHashMap<>();

  long counter;
  long stamp;

  /** Tasks that are done by its record. */
  BitSet savedDone = new BitSet();

  /** Grows with each change, so that a commit knows whether it caught the last one. */
  long version;

  /** No task of it starts before this, after failures that were its own. */
  long restUntilMicros;

  int failures;

  /** When its first task that could start began to wait; 0 if none waits. */
  long waitingSinceMicros;

  Slice(int shard, int shards, String job) {
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
    return out.values();
  }

  public BitSet savedDone() {
    return savedDone;
  }

  public String key() {
    return key(shard, job);
  }

  public static String key(int shard, String job) {
    return KEYS + shard + "/" + job;
  }

  /** The tasks that the even split gives to a shard; gangs and services stay whole. */
  static BitSet share(JobSpec spec, int home, int shard, int shards) {
    BitSet set = new BitSet();
    if (spec.whole()) {
      if (shard == home) {
        set.set(0, spec.tasks());
      }
      return set;
    }
    // Rotated by the job's home, so that small jobs don't all fall to the same shards.
    int place = Math.floorMod(shard - home, shards);
    int from = (int) ((long) spec.tasks() * place / shards);
    int to = (int) ((long) spec.tasks() * (place + 1) / shards);
    set.set(from, to);
    return set;
  }

  void usage(JobSpec spec) {
    team = spec.team();
    cpus = spec.cpus();
    gpus = spec.gpus();
    memory = spec.memory();
  }

  /** Sets it to what the even split says, where no record is. */
  void reset(Job from) {
    usage(from.spec());
    assigned.clear();
    assigned.or(share(from.spec(), from.home(), shard, shards));
    done.clear();
    savedDone = new BitSet();
    stamp = 0;
  }

  /** Sets it to its record; the attempts are returned, for the caller to take in. */
  List<Attempt> read(Ledger.Entry entry, long nowMicros) {
    Map<String, Object> data = entry.data();
    stamp = entry.stamp();
    team = Json.text(data, "t");
    cpus = Json.num(data, "c", 0);
    gpus = Json.num(data, "g", 0);
    memory = Json.num(data, "m", 0);
    counter = Math.max(counter, Json.num(data, "n", 0));
    assigned.clear();
    assigned.or(Ranges.parse(Json.text(data, "a")));
    done.clear();
    done.or(Ranges.parse(Json.text(data, "d")));
    savedDone = (BitSet) done.clone();
    List<Attempt> attempts = new ArrayList<>();
    String text = Json.text(data, "o");
    if (text != null && !text.isEmpty()) {
      for (String part : text.split(",")) {
        String[] f = part.split(":");
        Attempt a =
            new Attempt(this, Integer.parseInt(f[0]), Long.parseLong(f[1]), f[2], nowMicros);
        a.committed = true;
        // Whether its run was sent is not recorded: it may have been.
        a.sent = true;
        a.rebuilt = true;
        attempts.add(a);
      }
    }
    return attempts;
  }

  /** The record as it is to be. */
  Map<String, Object> record() {
    StringBuilder handedOut = new StringBuilder();
    for (Attempt a : out.values()) {
      if (!a.closed) {
        if (handedOut.length() > 0) {
          handedOut.append(',');
        }
        handedOut.append(a.task()).append(':').append(a.number()).append(':').append(a.host());
      }
    }
    return Json.of(
        "n", counter,
        "a", Ranges.text(assigned),
        "d", Ranges.text(done),
        "o", handedOut.toString(),
        "t", team,
        "c", cpus,
        "g", gpus,
        "m", memory);
  }

  /** A number that no attempt of the job had, in any shard. */
  long nextNumber() {
    counter++;
    return counter * shards + shard + 1;
  }

  /** Notes a task as done. A gang completes as one, whatever its other machines can still say. */
  void finish(int task, Job from) {
    if (from != null && from.spec().shape() == JobSpec.Shape.GANG) {
      done.or(assigned);
    } else {
      done.set(task);
    }
  }

  boolean isTodo(int task) {
    return assigned.get(task) && !done.get(task) && !out.containsKey(task);
  }

  /** The first task from a number on that is neither done nor handed out; -1 if none. */
  int nextTodo(int from) {
    for (int t = assigned.nextSetBit(from); t >= 0; t = assigned.nextSetBit(t + 1)) {
      if (!done.get(t) && !out.containsKey(t)) {
        return t;
      }
    }
    return -1;
  }

  public int todoCount() {
    // Attempts are always of assigned tasks that are not done, but for those that just finished.
    int open = 0;
    for (Attempt a : out.values()) {
      if (!done.get(a.task())) {
        open++;
      }
    }
    return assigned.cardinality() - done.cardinality() - open;
  }

  /** Whether starts have been decided that are not committed yet. */
  boolean starts() {
    return out.values().stream().anyMatch(a -> !a.closed && !a.committed);
  }

  /** Tasks that may be on a machine. */
  public int live() {
    int count = 0;
    for (Attempt a : out.values()) {
      if (!a.closed) {
        count++;
      }
    }
    return count;
  }

  boolean complete() {
    return done.cardinality() == assigned.cardinality();
  }
}
