package gladeknot.state;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
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
  private static final double MAX_SHARE = 0.92;

  private final String address;
  private final Outbox outbox;
  private final ChangeListener listener;
  private final RandomGenerator random;
  private final TransactionLimits limits;
  private final double writeShare;
  private double writesPerSecond;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TreeMap<String, Entry> view = new TreeMap<>();
  private final Map<String, Long> deletedAt = new HashMap<>();
  private long revision;
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
  public StateStore(
      Settings settings, Outbox outbox, RandomGenerator random, ChangeListener listener) {
    this.address = settings.stateAddress();
    this.outbox = outbox;
    this.random = random;
    this.listener = listener;
    double part = MAX_SHARE / settings.nodes().size();
    double rps = settings.stateLimits().rps() * part;
    // Writes come in bursts at one controller or the other: each may use more than an even part,
    // and gives way when the service says that all together were too many.
    limits = new TransactionLimits(settings);
    writeShare = Math.min(MAX_SHARE, part * WRITE_SHARE);
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

  public long revision() {
    return revision;
  }

  /** When the copy is known to have been current. */
  public long currentAsOfMicros() {
    return barriers.currentAsOfMicros();
  }

  public Entry get(String key) {
    return view.get(key);
  }

  /** The stamp of a key in the copy; 0 if there is no such key. */
  public long modRevision(String key) {
    Entry entry = view.get(key);
    return entry == null ? 0 : entry.modRevision();
  }

  public SortedMap<String, Entry> withPrefix(String prefix) {
    return view.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Write tokens for a transaction of the given size, leaving some to more urgent ones. */
  public boolean tryAcquireWrites(int count, double keepShare) {
    double keep = keepShare * writes.burst();
    return requests.tryAcquire(1, 2, nowMicros) && writes.tryAcquire(count, keep, nowMicros);
  }

  /** How many writes there are tokens for, leaving some to more urgent ones. */
  public int availableWrites(double keepShare) {
    int left = (int) writes.available(keepShare * writes.burst(), nowMicros);
    // However small the bucket is, a claim's two writes must be able to go some time.
    boolean full = writes.available(0, nowMicros) >= writes.burst();
    return full ? Math.max(2, left) : left;
  }

  /** Lets time pass. */
  public void tick(long now) {
    nowMicros = now;
    if (writesPerSecond != limits.writesPerSecond()) {
      writesPerSecond = limits.writesPerSecond();
      writes.setRate(writesPerSecond * writeShare, now);
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
    if (loaded && barriers.wantRead(now) && requests.tryAcquire(1, 1, now)) {
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
          handler.onReply(reply);
        });
  }

  /** A call that goes even when its tokens are used up. */
  public void callUnthrottled(
      String method, String path, Object body, long timeoutMicros, Outbox.ReplyHandler handler) {
    requests.forceAcquire(1, nowMicros);
    call(method, path, body, timeoutMicros, handler);
  }

  private void load(String from) {
    requests.forceAcquire(1, nowMicros);
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
    revision = Math.max(revision, pageEpoch);
    TreeMap<String, Entry> read = page;
    page = null;
    List<Change> changes = new ArrayList<>();
    for (String key : gone) {
      if (view.get(key).modRevision() <= pageEpoch) {
        set(key, null, changes);
      }
    }
    read.forEach(
        (key, entry) -> {
          if (entry.modRevision() > modRevision(key)) {
            set(key, entry, changes);
          }
        });
    listener.onChanges(changes);
    LOG.info("state read at epoch {}: {} keys", revision, view.size());
    barriers.reached(revision);
  }

  private void backOff() {
    retryMicros = nowMicros + 200_000 + random.nextInt(300_000);
  }

  private void follow() {
    following = true;
    requests.forceAcquire(1, nowMicros);
    call(
        "GET",
        "/follow?starts=" + ROOT + "&from=" + revision + "&waitMs=" + FOLLOW_MS,
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
          listener.onChanges(changes);
          revision = Math.max(revision, Json.num(body, "epoch", revision));
          deletedAt.values().removeIf(at -> at <= revision);
          // Every change of every controller ends a watch: asked again at once, watches alone would
          // use up the calls that commits need.
          nextFollowMicros = nowMicros + FOLLOW_GAP_MICROS;
          barriers.reached(revision);
        });
  }

  private void apply(Map<String, Object> event, List<Change> changes) {
    long stamp = Json.num(event, "stamp", 0);
    String written = Json.text(event, "write");
    String key = written != null ? written : Json.text(event, "delete");
    if (key == null || stamp <= modRevision(key) || stamp <= deletedAt.getOrDefault(key, 0L)) {
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
  public void whenRevisionReached(long wanted, Runnable then) {
    if (loaded && revision >= wanted) {
      then.run();
    } else {
      barriers.whenRevisionReached(wanted, then);
    }
  }

  /** The same, but that it is given up when the copy does not get there soon. */
  public void whenRevisionReached(long wanted, Runnable then, Runnable failed) {
    if (loaded && revision >= wanted) {
      then.run();
    } else {
      barriers.whenRevisionReached(wanted, then, failed, nowMicros);
    }
  }

  /**
   * Runs one of two things: {@code fresh} once the copy is as new as this moment, {@code failed}
   * when that can't be learnt soon. Many barriers share one read.
   */
  public void readBarrier(Runnable fresh, Runnable failed) {
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
          barriers.read(batch, at, revision);
        });
  }

  /** Sends a transaction. Tokens are the caller's affair, see {@link #tryAcquireWrites}. */
  public void commit(
      Map<String, Long> conditions, List<Mutation> changes, Consumer<CommitOutcome> then) {
    call(
        "POST",
        COMMIT,
        TransactionCodec.body(conditions, changes),
        CALL_MICROS,
        reply -> then.accept(takeIn(TransactionCodec.outcome(reply), changes, reply)));
  }

  /** Brings what a transaction has done into the copy. */
  private CommitOutcome takeIn(CommitOutcome outcome, List<Mutation> changes, Outbox.Reply reply) {
    if (outcome.status() == CommitStatus.COMMITTED) {
      List<Change> applied = new ArrayList<>();
      changes.forEach(write -> apply(write, outcome.revision(), applied));
      listener.onChanges(applied);
    } else if (outcome.status() == CommitStatus.REJECTED) {
      Object error = reply.object().get("error");
      LOG.error("transaction refused as malformed: {}: {}", error, TransactionCodec.sizes(changes));
      if (!NO_SUCH_LEASE.equals(error)) {
        limits.onSizeRejection();
      }
    }
    return outcome;
  }

  private void apply(Mutation write, long at, List<Change> applied) {
    if (at <= modRevision(write.key()) || at <= deletedAt.getOrDefault(write.key(), 0L)) {
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
