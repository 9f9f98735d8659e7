package gladeknot.placement;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobBook;
import gladeknot.ledger.Ledger;
import gladeknot.ledger.Ledger.Outcome;
import gladeknot.ledger.Ledger.Write;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the records of the shards that are ours: one transaction at a time, each conditional on
 * the shard's stamp and on the stamp of every key that it changes or relies on.
 */
public final class Recorder {
  private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
  private static final int MAX_BYTES = 40_000;
  private static final long PAUSE_MICROS = 150_000;

  /** A change of one key for a shard, besides the slices. */
  public record Extra(
      int shard, Write write, Map<String, Long> conditions, Consumer<Boolean> then) {}

  /** A slice as it went into a transaction. */
  private record Caught(
      Slice slice,
      long version,
      BitSet done,
      List<Attempt> live,
      List<Attempt> closed,
      Map<Slice, BitSet> claims) {}

  private record Batch(
      List<Caught> slices, List<Extra> extras, List<Write> writes, Map<String, Long> conditions) {}

  private final Settings settings;
  private final Ledger ledger;
  private final Membership membership;
  private final JobBook jobs;
  private final SliceBook slices;
  private final Set<Slice> dirty = new LinkedHashSet<>();
  private final ArrayDeque<Extra> extras = new ArrayDeque<>();
  private final Set<Slice> held = new HashSet<>();
  private Batch inFlight;
  private boolean waiting;
  private long nextMicros;
  private long nowMicros;
  private Runnable afterCommit = () -> {};

  public Recorder(
      Settings settings, Ledger ledger, Membership membership, JobBook jobs, SliceBook slices) {
    this.settings = settings;
    this.ledger = ledger;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** What runs after each transaction whose outcome is known. */
  public void afterCommit(Runnable then) {
    afterCommit = then;
  }

  /** A slice's working copy has changed. */
  void changed(Slice slice) {
    slice.version++;
    dirty.add(slice);
  }

  public void add(Extra extra) {
    extras.add(extra);
  }

  /** Whether a slice is part of the transaction on its way. */
  boolean busy(Slice slice) {
    return held.contains(slice);
  }

  public void tick(long now) {
    nowMicros = now;
    flush();
  }

  /** Sends the next transaction if none is on its way and there is something to write. */
  public void flush() {
    if (inFlight != null || waiting || nowMicros < nextMicros) {
      return;
    }
    if (dirty.isEmpty() && extras.isEmpty()) {
      return;
    }
    Batch batch = gather();
    if (batch.writes().isEmpty()) {
      return;
    }
    if (!ledger.takeWrites(batch.writes().size(), 0.1)) {
      batch.extras().forEach(extras::addFirst);
      return;
    }
    inFlight = batch;
    for (Caught c : batch.slices()) {
      held.add(c.slice());
      held.addAll(c.claims().keySet());
    }
    ledger.commit(batch.conditions(), batch.writes(), this::finished);
  }

  private Batch gather() {
    int room = settings.stateLimits().txnOps();
    Batch batch =
        new Batch(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new LinkedHashMap<>());
    int bytes = 0;
    for (Slice s : List.copyOf(dirty)) {
      if (!membership.commitsFor(s.shard())) {
        continue;
      }
      Job job = jobs.active(s.job());
      if (job == null) {
        dropStarts(s);
      }
      if (!claimsStand(s) || (job != null && s.starts() && !slices.zonesStand(job.spec()))) {
        // Other shards have started some of the job's tasks since: what was decided is dropped.
        reload(s);
        continue;
      }
      if (writtenAlready(s, batch)) {
        // Two claims of the same tasks must not go as one transaction: each would find them free.
        continue;
      }
      int ops = 1 + s.claims.size();
      if (batch.writes().size() + ops > room || bytes > MAX_BYTES) {
        break;
      }
      bytes += gather(s, job, batch);
    }
    for (int n = extras.size(); n > 0 && batch.writes().size() < room; n--) {
      Extra e = extras.poll();
      if (!membership.commitsFor(e.shard())) {
        if (membership.owned().contains(e.shard())) {
          extras.add(e);
        } else {
          e.then().accept(false);
        }
        continue;
      }
      if (e.conditions().keySet().stream().anyMatch(batch.conditions()::containsKey)) {
        extras.add(e);
        continue;
      }
      batch.extras().add(e);
      batch.writes().add(e.write());
      batch.conditions().putAll(e.conditions());
      shardCondition(e.shard(), batch);
    }
    return batch;
  }

  private static boolean writtenAlready(Slice s, Batch batch) {
    for (Write w : batch.writes()) {
      if (w.key().equals(s.key())
          || s.claims.keySet().stream().anyMatch(from -> w.key().equals(from.key()))) {
        return true;
      }
    }
    return false;
  }

  /** Whether all tasks that a slice is to take over are still free where they are taken from. */
  private boolean claimsStand(Slice s) {
    for (Map.Entry<Slice, BitSet> claim : s.claims.entrySet()) {
      Slice from = claim.getKey();
      if (slices.get(from.shard(), from.job()) != from
          || !claim.getValue().stream().allMatch(from::isTodo)) {
        return false;
      }
    }
    return true;
  }

  private void shardCondition(int shard, Batch batch) {
    String key = Membership.shardKey(shard);
    batch.conditions().put(key, ledger.stamp(key));
  }

  /** Starts of a job that is over are not written any more. */
  private void dropStarts(Slice s) {
    for (Attempt a : List.copyOf(s.out.values())) {
      if (!a.committed) {
        slices.remove(a);
      }
    }
    s.claims.clear();
  }

  private int gather(Slice s, Job job, Batch batch) {
    List<Attempt> live = new ArrayList<>();
    List<Attempt> closed = new ArrayList<>();
    for (Attempt a : s.out.values()) {
      (a.closed ? closed : live).add(a);
    }
    if (job == null && live.isEmpty()) {
      // Nothing of a job that is over is on a machine any more: its record goes.
      batch.writes().add(Write.delete(s.key()));
    } else {
      batch.writes().add(Write.put(s.key(), s.record()));
    }
    batch.conditions().put(s.key(), s.stamp);
    shardCondition(s.shard(), batch);
    for (Attempt a : closed) {
      if (a.lapsed) {
        // Another controller may have begun to renew leases in our place: then nothing lapsed.
        batch.conditions().merge(Membership.careKey(s.shard()), a.careStamp, Math::min);
      }
    }
    if (job != null && s.starts()) {
      // A cancellation that is committed before this start makes the start fail.
      batch.conditions().put(Job.key(s.job()), job.stamp());
      if (job.spec().scatter() || job.spec().together()) {
        // Where a job's tasks may go depends on where its others are, in whichever slice.
        for (int shard = 0; shard < membership.shards(); shard++) {
          Slice other = slices.get(shard, s.job());
          if (shard != s.shard()) {
            batch.conditions().put(Slice.key(shard, s.job()), other == null ? 0L : other.stamp);
          }
        }
      }
    }
    for (Map.Entry<Slice, BitSet> claim : s.claims.entrySet()) {
      Slice from = claim.getKey();
      Map<String, Object> record = from.record();
      BitSet left = (BitSet) from.assigned.clone();
      left.andNot(claim.getValue());
      record.put("a", Ranges.text(left));
      batch.writes().add(Write.put(from.key(), record));
      batch.conditions().put(from.key(), from.stamp);
    }
    batch
        .slices()
        .add(new Caught(s, s.version, (BitSet) s.done.clone(), live, closed, Map.copyOf(s.claims)));
    return 200 + 24 * live.size() + 12 * s.claims.size();
  }

  private void finished(Outcome outcome) {
    Batch batch = inFlight;
    inFlight = null;
    held.clear();
    switch (outcome.result()) {
      case DONE -> {
        batch.slices().forEach(c -> saved(c, outcome.epoch()));
        batch.extras().forEach(e -> e.then().accept(true));
      }
      case CONFLICT -> {
        LOG.info("records changed elsewhere: {}", outcome.failed());
        waiting = true;
        ledger.whenAt(
            outcome.epoch(),
            () -> {
              waiting = false;
              reload(batch);
              for (Extra e : batch.extras()) {
                if (outcome.failed().stream().anyMatch(e.conditions()::containsKey)) {
                  e.then().accept(false);
                } else {
                  extras.add(e);
                }
              }
              afterCommit.run();
            });
        return;
      }
      case UNKNOWN -> {
        // It may have been carried out, or may be later: a new stamp on each shard's key makes
        // that impossible, then the copy tells what was.
        TreeSet<Integer> shards = new TreeSet<>();
        batch.slices().forEach(c -> shards.add(c.slice().shard()));
        batch.extras().forEach(e -> shards.add(e.shard()));
        LOG.info("a transaction for shards {} got no answer", shards);
        shards.forEach(membership::unclear);
        extras.addAll(batch.extras());
      }
      default -> {
        nextMicros = nowMicros + PAUSE_MICROS;
        extras.addAll(batch.extras());
      }
    }
    afterCommit.run();
  }

  private void saved(Caught c, long epoch) {
    Slice s = c.slice();
    if (slices.get(s.shard(), s.job()) != s) {
      return;
    }
    s.stamp = epoch;
    s.savedDone = c.done();
    for (Attempt a : c.live()) {
      if (!a.committed) {
        a.committed = true;
        LOG.info("start {} shard {} term {}", a, s.shard(), membership.term(s.shard()));
      }
    }
    c.closed().forEach(slices::remove);
    c.claims()
        .forEach(
            (from, tasks) -> {
              s.claims.remove(from);
              slices.load(from.shard(), from.job(), jobs.active(from.job()));
            });
    if (s.version == c.version()) {
      dirty.remove(s);
    }
    Ledger.Entry now = ledger.get(s.key());
    if (now == null) {
      dirty.remove(s);
      slices.load(s.shard(), s.job(), jobs.active(s.job()));
    } else if (now.stamp() > epoch) {
      reload(s);
    }
  }

  private void reload(Batch batch) {
    for (Caught c : batch.slices()) {
      reload(c.slice());
      c.claims()
          .keySet()
          .forEach(from -> slices.load(from.shard(), from.job(), jobs.active(from.job())));
    }
  }

  /** Reads a slice anew; what was only decided is dropped, ends that were seen are kept. */
  void reload(Slice s) {
    dirty.remove(s);
    Slice now = slices.load(s.shard(), s.job(), jobs.active(s.job()));
    if (now != null && membership.owned().contains(now.shard())) {
      boolean ended = now.out.values().stream().anyMatch(a -> a.closed);
      if (ended || (jobs.active(now.job()) == null && now.out.isEmpty())) {
        for (Attempt a : now.out.values()) {
          if (a.closed && a.finished) {
            now.finish(a.task(), jobs.active(now.job()));
          }
        }
        changed(now);
      }
    }
  }

  /** A shard has become ours, or its unclear commits have been settled. */
  public void gained(int shard) {
    dirty.removeIf(s -> s.shard() == shard);
    Set<String> ids = new LinkedHashSet<>();
    slices.of(shard).forEach(s -> ids.add(s.job()));
    String prefix = Slice.KEYS + shard + "/";
    ledger.under(prefix).keySet().forEach(k -> ids.add(k.substring(prefix.length())));
    for (String id : ids) {
      Slice s = slices.load(shard, id, jobs.active(id));
      if (s != null) {
        reload(s);
      }
    }
  }

  public void lost(int shard) {
    dirty.removeIf(s -> s.shard() == shard);
    for (Slice s : List.copyOf(slices.of(shard))) {
      slices.load(shard, s.job(), jobs.active(s.job()));
    }
  }
}
