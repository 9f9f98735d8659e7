package gladeknot.state;

import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the state service: a followed copy of every key, commits, and the read barrier that
 * tells whether the copy is as new as some moment.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

  /** All keys lie under one prefix, so that one watch sees every change. */
  public static final String ROOT = "g/";

  private static final String BARRIER_KEY = "/kv/" + ROOT + "-";
  private static final long CALL_MICROS = 2_500_000;
  private static final int FOLLOW_MS = 8_000;
  private static final long FOLLOW_GAP_MICROS = 110_000;
  private static final String COMMIT = "/commit";
  private static final String NO_SUCH_LEASE = "no such lease";
  private static final int PAGE = 400;

  /** How many times an even part of the writes one controller may use. */
  private static final double WRITE_SHARE = 2.0;

  /** What is used of the service's rates by all together; clocks and bursts take the rest. */
  private static final double MOST_SHARE = 0.92;

  /** A key's value and the stamp of its last change. */
  public record Entry(Map<String, Object> data, long stamp) {}

  /** One change of a transaction; without data it deletes. */
  public record Write(String key, Map<String, Object> data, long grant) {
    public static Write put(String key, Map<String, Object> data) {
      return new Write(key, data, 0);
    }

    public static Write delete(String key) {
      return new Write(key, null, 0);
    }
  }

  /** How a transaction ended. */
  public enum Result {
    DONE,
    CONFLICT,
    /** Surely not executed: the service is out of order. */
    REFUSED,
    /** Surely not executed: all controllers together ask too often. */
    THROTTLED,
    /** Surely not executed: the lease to attach to has ended, or the request was malformed. */
    BAD,
    /** No answer: it may have been executed, or may still be. */
    UNKNOWN
  }

  /** A transaction's end; for a conflict with the keys that had changed. */
  public record Outcome(Result result, long epoch, List<String> failed) {}

  /** A change of one key in the copy; without a new entry the key is gone. */
  public record Change(String key, Entry before, Entry now) {}

  /** Hears of every change of the copy. */
  public interface Listener {
    /** The copy holds all of these changes already, which came together. */
    void changed(List<Change> changes);
  }

  private final String address;
  private final Outbox outbox;
  private final Listener listener;
  private final RandomGenerator random;
  private final TransactionLimits limits;
  private final double writeShare;
  private double writesPerSecond;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TreeMap<String, Entry> view = new TreeMap<>();
  private final Map<String, Long> deletedAt = new HashMap<>();
  private long epoch;
  private boolean loaded;
  private boolean loading;
  private boolean following;
  private long retryMicros;
  private long nextFollowMicros;
  private TreeMap<String, Entry> page;
  private long pageEpoch;
  private final ReadBarriers barriers = new ReadBarriers();
  private long nowMicros;

  /** A client that has read nothing yet. */
  public StateStore(Settings settings, Outbox outbox, RandomGenerator random, Listener listener) {
    this.address = settings.state();
    this.outbox = outbox;
    this.random = random;
    this.listener = listener;
    double part = MOST_SHARE / settings.nodes().size();
    double rps = settings.stateLimits().rps() * part;
    // Writes come in bursts at one controller or the other: each may use more than an even part,
    // and gives way when the service says that all together were too many.
    limits = new TransactionLimits(settings);
    writeShare = Math.min(MOST_SHARE, part * WRITE_SHARE);
    writesPerSecond = limits.writesPerSecond();
    double writeRps = writesPerSecond * writeShare;
    this.requests = new TokenBucket(rps, rps);
    this.writes = new TokenBucket(writeRps, writeRps);
  }

  /** What transactions and values may hold. */
  public TransactionLimits limits() {
    return limits;
  }

  public boolean loaded() {
    return loaded;
  }

  public long epoch() {
    return epoch;
  }

  /** When the copy is known to have been current. */
  public long freshMicros() {
    return barriers.freshMicros();
  }

  public Entry get(String key) {
    return view.get(key);
  }

  /** The stamp of a key in the copy; 0 if there is no such key. */
  public long stamp(String key) {
    Entry entry = view.get(key);
    return entry == null ? 0 : entry.stamp();
  }

  public SortedMap<String, Entry> under(String prefix) {
    return view.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Write tokens for a transaction of the given size, leaving some to more urgent ones. */
  public boolean takeWrites(int count, double keepShare) {
    double keep = keepShare * writes.burst();
    return requests.take(1, 2, nowMicros) && writes.take(count, keep, nowMicros);
  }

  /** How many writes there are tokens for, leaving some to more urgent ones. */
  public int writesLeft(double keepShare) {
    int left = (int) writes.left(keepShare * writes.burst(), nowMicros);
    // However small the bucket is, a claim's two writes must be able to go some time.
    boolean full = writes.left(0, nowMicros) >= writes.burst();
    return full ? Math.max(2, left) : left;
  }

  /** Lets time pass. */
  public void tick(long now) {
    nowMicros = now;
    if (writesPerSecond != limits.writesPerSecond()) {
      writesPerSecond = limits.writesPerSecond();
      writes.rate(writesPerSecond * writeShare, now);
    }
    if (!loaded && !loading && now >= retryMicros) {
      loading = true;
      page = new TreeMap<>();
      pageEpoch = -1;
      load("");
    }
    if (loaded && !following && now >= Math.max(retryMicros, nextFollowMicros)) {
      follow();
    }
    if (loaded && barriers.wantRead(now) && requests.take(1, 1, now)) {
      readForBarriers();
    }
    barriers.expire(now);
  }

  /** Any call to the state service. */
  public void call(
      String method, String path, Object body, long timeoutMicros, Outbox.ReplyHandler handler) {
    outbox.call(
        address,
        method,
        path,
        body,
        timeoutMicros,
        reply -> {
          if (reply.status() == 429) {
            requests.drain(nowMicros);
            writes.drain(nowMicros);
          }
          handler.on(reply);
        });
  }

  /** A call that goes even when its tokens are used up. */
  public void urgent(
      String method, String path, Object body, long timeoutMicros, Outbox.ReplyHandler handler) {
    requests.force(1, nowMicros);
    call(method, path, body, timeoutMicros, handler);
  }

  private void load(String from) {
    requests.force(1, nowMicros);
    String after = from.isEmpty() ? "" : "&from=" + from;
    call(
        "GET",
        "/kv?starts=" + ROOT + after + "&most=" + PAGE,
        null,
        CALL_MICROS * 2,
        reply -> {
          if (reply.status() != 200) {
            loading = false;
            backOff();
            return;
          }
          Map<String, Object> body = reply.object();
          if (pageEpoch < 0) {
            pageEpoch = Json.num(body, "epoch", 0);
          }
          String last = from;
          for (Map<String, Object> item : Json.objects(body, "items")) {
            last = Json.text(item, "path");
            page.put(last, new Entry(Json.map(item.get("data")), Json.num(item, "stamp", 0)));
          }
          if (Json.flag(body, "more") && !last.equals(from)) {
            load(last);
          } else {
            finishLoad();
          }
        });
  }

  private void finishLoad() {
    loading = false;
    loaded = true;
    List<String> gone = view.keySet().stream().filter(k -> !page.containsKey(k)).toList();
    epoch = Math.max(epoch, pageEpoch);
    TreeMap<String, Entry> read = page;
    page = null;
    List<Change> changes = new ArrayList<>();
    for (String key : gone) {
      if (view.get(key).stamp() <= pageEpoch) {
        set(key, null, changes);
      }
    }
    read.forEach(
        (key, entry) -> {
          if (entry.stamp() > stamp(key)) {
            set(key, entry, changes);
          }
        });
    listener.changed(changes);
    LOG.info("state read at epoch {}: {} keys", epoch, view.size());
    barriers.reached(epoch);
  }

  private void backOff() {
    retryMicros = nowMicros + 200_000 + random.nextInt(300_000);
  }

  private void follow() {
    following = true;
    requests.force(1, nowMicros);
    call(
        "GET",
        "/follow?starts=" + ROOT + "&from=" + epoch + "&waitMs=" + FOLLOW_MS,
        null,
        FOLLOW_MS * 1000L + 4_000_000,
        reply -> {
          following = false;
          if (reply.status() == 410) {
            loaded = false;
            return;
          }
          if (reply.status() != 200) {
            backOff();
            return;
          }
          Map<String, Object> body = reply.object();
          List<Change> changes = new ArrayList<>();
          for (Map<String, Object> event : Json.objects(body, "events")) {
            apply(event, changes);
          }
          listener.changed(changes);
          epoch = Math.max(epoch, Json.num(body, "epoch", epoch));
          deletedAt.values().removeIf(at -> at <= epoch);
          // Every change of every controller ends a watch: asked again at once, watches alone would
          // use up the calls that commits need.
          nextFollowMicros = nowMicros + FOLLOW_GAP_MICROS;
          barriers.reached(epoch);
        });
  }

  private void apply(Map<String, Object> event, List<Change> changes) {
    long stamp = Json.num(event, "stamp", 0);
    String written = Json.text(event, "write");
    String key = written != null ? written : Json.text(event, "delete");
    if (key == null || stamp <= stamp(key) || stamp <= deletedAt.getOrDefault(key, 0L)) {
      return;
    }
    set(key, written == null ? null : new Entry(Json.map(event.get("data")), stamp), changes);
  }

  private void set(String key, Entry now, List<Change> changes) {
    Entry before = now == null ? view.remove(key) : view.put(key, now);
    if (before != null || now != null) {
      changes.add(new Change(key, before, now));
    }
  }

  /** Runs something once the copy has reached an epoch. */
  public void whenAt(long wanted, Runnable then) {
    if (loaded && epoch >= wanted) {
      then.run();
    } else {
      barriers.whenAt(wanted, then);
    }
  }

  /** The same, but that it is given up when the copy does not get there soon. */
  public void whenAt(long wanted, Runnable then, Runnable failed) {
    if (loaded && epoch >= wanted) {
      then.run();
    } else {
      barriers.whenAt(wanted, then, failed, nowMicros);
    }
  }

  /**
   * Runs one of two things: {@code fresh} once the copy is as new as this moment, {@code failed}
   * when that can't be learnt soon. Many barriers share one read.
   */
  public void barrier(Runnable fresh, Runnable failed) {
    barriers.ask(fresh, failed, nowMicros);
  }

  private void readForBarriers() {
    List<ReadBarriers.Barrier> batch = barriers.startRead(nowMicros);
    call(
        "GET",
        BARRIER_KEY,
        null,
        ReadBarriers.WAIT_MICROS,
        reply -> {
          long at = reply.status() == 404 ? Json.num(reply.object(), "epoch", -1) : -1;
          barriers.read(batch, at, epoch);
        });
  }

  /** Sends a transaction. Tokens are the caller's affair, see {@link #takeWrites}. */
  public void commit(Map<String, Long> conditions, List<Write> changes, Consumer<Outcome> then) {
    call(
        "POST",
        COMMIT,
        TransactionCodec.body(conditions, changes),
        CALL_MICROS,
        reply -> then.accept(takeIn(TransactionCodec.outcome(reply), changes, reply)));
  }

  /** Brings what a transaction has done into the copy. */
  private Outcome takeIn(Outcome outcome, List<Write> changes, Outbox.Reply reply) {
    if (outcome.result() == Result.DONE) {
      List<Change> applied = new ArrayList<>();
      changes.forEach(write -> apply(write, outcome.epoch(), applied));
      listener.changed(applied);
    } else if (outcome.result() == Result.BAD) {
      Object error = reply.object().get("error");
      LOG.error("transaction refused as malformed: {}: {}", error, TransactionCodec.sizes(changes));
      if (!NO_SUCH_LEASE.equals(error)) {
        limits.refusedForSize();
      }
    }
    return outcome;
  }

  private void apply(Write write, long at, List<Change> applied) {
    if (at <= stamp(write.key()) || at <= deletedAt.getOrDefault(write.key(), 0L)) {
      return;
    }
    if (write.data() == null) {
      deletedAt.put(write.key(), at);
      set(write.key(), null, applied);
    } else {
      set(write.key(), new Entry(write.data(), at), applied);
    }
  }
}
