package gladeknot.placement;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.state.StateStore;
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
  public static final String KEYS = StateStore.ROOT + "sl/";

  /** Stands for all tasks in a record: slices that are done outnumber the others. */
  private static final String ALL = "*";

  private final RecordLayout layout;
  private final boolean whole;
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

  /** Its key by the layout, and the split that this was worked out for. */
  private String wantedKey;

  private int wantedSplit;

  /** The part that holds its record; null if the state store has none. */
  String recordedKey;

  /** Tasks that are done by its record. */
  BitSet savedDone = new BitSet();

  /** Grows with each change, so that a commit knows whether it caught the last one. */
  long version;

  /** What decides which machines take a task of it; null until it is asked for. */
  Placer.Kind kind;

  private int live = -1;

  private int todo = -1;

  /** Since when it has something to write; 0 if it hasn't. */
  long dirtySinceMicros;

  /** No task of it starts before this, after failures that were its own. */
  long restUntilMicros;

  int failures;

  /** When its first task that could start began to wait; 0 if none waits. */
  long waitingSinceMicros;

  Slice(RecordLayout layout, boolean whole, int shard, int shards, String job) {
    this.layout = layout;
    this.whole = whole;
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

  /** The part of its shard's record that it lies in, or will with its first record. */
  public String key() {
    return recorded() ? recordedKey : wantedKey();
  }

  /** The part that it belongs into by the cluster's format. */
  String wantedKey() {
    int split = layout.partSplit();
    if (split != wantedSplit) {
      wantedSplit = split;
      wantedKey = layout.key(shard, whole, job);
    }
    return wantedKey;
  }

  /** Whether its record lies where it belongs by an earlier format. */
  boolean misplaced() {
    return recorded() && !recordedKey.equals(wantedKey());
  }

  /** Whether the state store has a record of it. */
  boolean recorded() {
    return recordedKey != null;
  }

  static String prefix(int shard) {
    return KEYS + shard + "/";
  }

  static int shardOf(String key) {
    return Integer.parseInt(key.substring(KEYS.length(), key.indexOf('/', KEYS.length())));
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
    todo = -1;
    usage(from.spec());
    assigned.clear();
    assigned.or(share(from.spec(), from.home(), shard, shards));
    done.clear();
    savedDone = new BitSet();
  }

  /** Sets it to its record; the attempts are returned, for the caller to take in. */
  List<Attempt> read(String record, long nowMicros) {
    todo = -1;
    String[] f = record.split("\\|", -1);
    team = f[0];
    cpus = Long.parseLong(f[1]);
    gpus = Long.parseLong(f[2]);
    memory = Long.parseLong(f[3]);
    counter = Math.max(counter, Long.parseLong(f[4]));
    assigned.clear();
    assigned.or(Ranges.parse(f[5]));
    done.clear();
    done.or(f[6].equals(ALL) ? assigned : Ranges.parse(f[6]));
    savedDone = (BitSet) done.clone();
    List<Attempt> attempts = new ArrayList<>();
    for (AttemptsCodec.Stored stored : AttemptsCodec.read(f[7])) {
      Attempt a = new Attempt(this, stored.task(), stored.number(), stored.host(), nowMicros);
      a.committed = true;
      // Whether its run was sent is not recorded: it may have been.
      a.sent = true;
      a.rebuilt = true;
      attempts.add(a);
    }
    return attempts;
  }

  /** Its record as it is to be. */
  String record() {
    return record(assigned);
  }

  /** Its record with other tasks assigned. */
  String record(BitSet tasks) {
    StringBuilder text = new StringBuilder(120);
    text.append(team).append('|').append(cpus).append('|').append(gpus).append('|');
    text.append(memory).append('|').append(counter).append('|');
    text.append(Ranges.text(tasks)).append('|');
    text.append(done.equals(tasks) ? ALL : Ranges.text(done)).append('|');
    List<AttemptsCodec.Stored> live = new ArrayList<>();
    for (Attempt a : out.values()) {
      if (!a.closed) {
        live.add(new AttemptsCodec.Stored(a.task(), a.number(), a.host()));
      }
    }
    boolean compact = layout.compact();
    return text.append(compact ? AttemptsCodec.compact(live) : AttemptsCodec.plain(live))
        .toString();
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
    todo = -1;
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

  /** How many of its tasks are neither done nor handed out. */
  public int todoCount() {
    // Asked for at every look at what waits, in all shards.
    if (todo < 0) {
      // Attempts are always of assigned tasks that are not done, but for those that just finished.
      int open = 0;
      for (Attempt a : out.values()) {
        if (!done.get(a.task())) {
          open++;
        }
      }
      todo = assigned.cardinality() - done.cardinality() - open;
    }
    return todo;
  }

  /** Takes tasks over from another slice. */
  void assign(BitSet tasks) {
    assigned.or(tasks);
    todo = -1;
  }

  /** Lets go of tasks that were taken over and found no room. */
  void unassign(int task) {
    assigned.clear(task);
    todo = -1;
  }

  /** Whether starts have been decided that are not committed yet. */
  boolean starts() {
    return out.values().stream().anyMatch(a -> !a.closed && !a.committed);
  }

  /** Tasks that may be on a machine. */
  public int live() {
    // Asked for at every look at what teams use, and changed seldom.
    if (live < 0) {
      live = 0;
      for (Attempt a : out.values()) {
        live += a.closed ? 0 : 1;
      }
    }
    return live;
  }

  /** An attempt has come, gone or ended. */
  void outChanged() {
    live = -1;
    todo = -1;
  }

  boolean complete() {
    return done.cardinality() == assigned.cardinality();
  }
}
