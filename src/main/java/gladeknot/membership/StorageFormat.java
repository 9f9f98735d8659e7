package gladeknot.membership;

import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.state.TransactionLimits;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The format in which records are stored, decided by all controllers together.
 *
 * <p>The first version writes no mark. Later ones announce their format with their liveness key.
 * Once all members do, and each shard is owned by such a life of a member, one of them commits the
 * mark, conditional on all those keys: from then on no process of the first version runs, and no
 * transaction that one of them may have left on its way can still be carried out, since each is
 * conditional on a shard's key that has changed since. Whoever writes slices does so on condition
 * of the mark's stamp.
 */
public final class StorageFormat {
  private static final Logger LOG = LoggerFactory.getLogger(StorageFormat.class);

  /** The format that this version announces. */
  static final int ANNOUNCED = 2;

  static final String FIELD_FORMAT = "f";

  private static final String KEY = StateStore.ROOT + "format";
  private static final String FIELD_SPLIT = "split";
  private static final long STEP_MICROS = 1_000_000;

  /** After parts were split, until it is known whether that was enough: records move meanwhile. */
  private static final long GROW_MICROS = 10_000_000;

  /** Keeps part numbers small; with it a shard holds some hundred thousand tasks at once. */
  private static final int MAX_SPLIT = 256;

  private final List<String> nodes;
  private final boolean firstMember;
  private final StateStore stateStore;
  private final TransactionLimits limits;
  private Entry seen;
  private int segmentSplit = 1;
  private boolean writing;
  private boolean segmentFull;
  private long nextMicros;
  private long nextGrowMicros;

  /** The format as the copy shows it; without a mark it is the first version's. */
  public StorageFormat(Settings settings, StateStore stateStore, TransactionLimits limits) {
    this.nodes = settings.nodes();
    this.firstMember = nodes.get(0).equals(settings.node());
    this.stateStore = stateStore;
    this.limits = limits;
  }

  public static String key() {
    return KEY;
  }

  /** Takes the mark in from the copy: it is asked for far too often to be looked up each time. */
  public void onChange() {
    seen = stateStore.get(KEY);
    segmentFull = false;
    segmentSplit = seen == null ? 1 : (int) Math.max(1, Json.num(seen.data(), FIELD_SPLIT, 1));
  }

  /** The stamp of the mark that the other methods tell of; 0 while there is none. */
  public long revision() {
    return seen == null ? 0 : seen.modRevision();
  }

  /** Whether all members are known to run this version or a later one. */
  public boolean agreed() {
    return seen != null;
  }

  /** Into how many parts each of the first version's parts of a shard's record is split. */
  public int segmentSplit() {
    return segmentSplit;
  }

  /**
   * Notes that a part of a shard's record has no room for tasks that there are machines for: how
   * many tasks can run must not be bounded by the largest value of the state service.
   */
  public void reportSegmentFull() {
    segmentFull = true;
  }

  /** Commits the mark once it may be; the first member by name does. */
  void tick(long nowMicros) {
    if (agreed()) {
      limits.onAllMembersUpgraded();
      splitFullParts(nowMicros);
    }
    if (!firstMember || writing || nowMicros < nextMicros || !wanted()) {
      return;
    }
    nextMicros = nowMicros + STEP_MICROS;
    Map<String, Long> conditions = allCurrent();
    if (conditions == null || !stateStore.tryAcquireWrites(1, 0)) {
      return;
    }
    conditions.put(KEY, revision());
    write(limits.targetSegmentSplit(), conditions);
  }

  /** Splits all parts in two; any member may, on condition that nobody else has. */
  private void splitFullParts(long nowMicros) {
    if (!segmentFull || writing || nowMicros < nextGrowMicros || segmentSplit() >= MAX_SPLIT) {
      return;
    }
    if (stateStore.tryAcquireWrites(1, 0)) {
      segmentFull = false;
      nextGrowMicros = nowMicros + GROW_MICROS;
      Map<String, Long> conditions = new LinkedHashMap<>();
      conditions.put(KEY, revision());
      write(2 * segmentSplit(), conditions);
    }
  }

  private void write(int split, Map<String, Long> conditions) {
    writing = true;
    stateStore.commit(
        conditions,
        List.of(Mutation.put(KEY, Json.of(FIELD_FORMAT, ANNOUNCED, FIELD_SPLIT, split))),
        outcome -> {
          writing = false;
          LOG.info("format {} with parts split by {}: {}", ANNOUNCED, split, outcome.status());
        });
  }

  private boolean wanted() {
    return !agreed() || segmentSplit() < limits.targetSegmentSplit();
  }

  /** The stamps of all liveness and shard keys, if all are of this version; else null. */
  private Map<String, Long> allCurrent() {
    Map<String, Long> stamps = new LinkedHashMap<>();
    for (String node : nodes) {
      Entry alive = stateStore.get(StateLease.key(node));
      if (alive == null || Json.num(alive.data(), FIELD_FORMAT, 1) < ANNOUNCED) {
        return null;
      }
      stamps.put(StateLease.key(node), alive.modRevision());
    }
    for (int shard = 0; shard < nodes.size(); shard++) {
      Entry entry = stateStore.get(Membership.shardKey(shard));
      String owner = entry == null ? null : Json.text(entry.data(), Membership.FIELD_OWNER);
      Entry alive = owner == null ? null : stateStore.get(StateLease.key(owner));
      if (alive == null || incarnation(entry) != incarnation(alive)) {
        return null;
      }
      stamps.put(Membership.shardKey(shard), entry.modRevision());
    }
    return stamps;
  }

  private static long incarnation(Entry entry) {
    return Json.num(entry.data(), Membership.FIELD_INCARNATION, 0);
  }
}
