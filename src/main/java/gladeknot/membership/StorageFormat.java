package gladeknot.membership;

import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.state.TransactionLimits;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The format in which records are stored, agreed on by all controllers.
 *
 * <p>The first version writes no mark. Later ones announce their format with their liveness key.
 * Once all members do, and each shard is owned by such an incarnation of a member, one of them
 * commits the mark, conditional on all those keys: from then on no process of the first version
 * runs, and no transaction that one of them may have sent can still be executed, since each is
 * conditional on a shard's key that has changed since. Every write of slices is conditional on the
 * mark's revision.
 *
 * <p>A mark comes into force here once the watch has reached its revision. The copy of the state
 * shows this controller's own commit earlier, ahead of other controllers' records that were
 * committed before it under the former layout: until they are seen, the absence of a record under
 * the new layout says nothing.
 */
public final class StorageFormat {
  private static final Logger LOG = LoggerFactory.getLogger(StorageFormat.class);

  /** The format that this version announces. */
  static final int ANNOUNCED = 2;

  /** Between two attempts to commit the mark. */
  private static final long INTERVAL_MICROS = 1_000_000;

  /** After a split, until it is known whether it was enough: records migrate meanwhile. */
  private static final long SPLIT_INTERVAL_MICROS = 10_000_000;

  /** Keeps segment numbers small; with it a shard holds some hundred thousand tasks at once. */
  private static final int MAX_SPLIT = 256;

  private final List<String> nodes;
  private final boolean firstMember;
  private final StateStore stateStore;
  private final TransactionLimits limits;
  private final ShardTable table;

  /** The newest mark in the copy; perhaps not in force yet. */
  private Entry newestMark;

  /** The mark in force. */
  private Entry mark;

  private int segmentSplit = 1;
  private boolean writing;
  private boolean segmentFull;
  private long nextAttemptMicros;
  private long nextSplitMicros;

  /** The format as the watch cache shows it; without a mark it is the first version's. */
  StorageFormat(
      Settings settings, StateStore stateStore, TransactionLimits limits, ShardTable table) {
    this.nodes = settings.nodes();
    this.firstMember = nodes.get(0).equals(settings.node());
    this.stateStore = stateStore;
    this.limits = limits;
    this.table = table;
  }

  /** The key of the mark. */
  public static String key() {
    return MembershipKeys.FORMAT;
  }

  /** The mark has changed in the copy. */
  public void onChange() {
    newestMark = stateStore.get(MembershipKeys.FORMAT);
    onRevisionReached();
  }

  /** The watch has reached a new revision: a mark up to it comes into force. */
  public void onRevisionReached() {
    boolean reached = newestMark == null || newestMark.modRevision() <= stateStore.revision();
    if (!isSuperseded() || !reached) {
      return;
    }
    mark = newestMark;
    // Decoded once: the split is asked for far too often.
    segmentSplit = mark == null ? 1 : MembershipCodec.format(mark).segmentSplit();
    segmentFull = false;
    LOG.info(
        "storage format in force segmentSplit={} mark_revision={} copy_revision={}",
        segmentSplit,
        revision(),
        stateStore.revision());
  }

  /** Whether the copy shows a newer mark than the one in force: what relies on that would fail. */
  public boolean isSuperseded() {
    return newestMark != mark;
  }

  /** The revision of the mark on which the other methods rest; 0 while there is none. */
  public long revision() {
    return mark == null ? 0 : mark.modRevision();
  }

  /** Whether all members are known to run this version or a later one. */
  public boolean agreed() {
    return mark != null;
  }

  /** How many segments each of the first version's segments of a shard is split into. */
  public int segmentSplit() {
    return segmentSplit;
  }

  /**
   * Notes that a segment can't hold tasks that there are machines for: how many tasks can run must
   * not be bounded by the largest value of the state service.
   */
  public void reportSegmentFull() {
    segmentFull = true;
  }

  /** Commits the mark once it may be; the first member in the settings does. */
  void tick(long nowMicros) {
    if (writing || isSuperseded()) {
      return;
    }
    if (agreed()) {
      limits.onAllMembersUpgraded();
      splitFullSegments(nowMicros);
    }
    boolean wanted = !agreed() || segmentSplit < limits.targetSegmentSplit();
    if (!firstMember || writing || nowMicros < nextAttemptMicros || !wanted) {
      return;
    }
    nextAttemptMicros = nowMicros + INTERVAL_MICROS;
    Optional<Map<String, Long>> upgraded = revisionsIfAllUpgraded();
    if (upgraded.isPresent() && stateStore.tryAcquireWrites(1, 0)) {
      Map<String, Long> conditions = upgraded.get();
      conditions.put(MembershipKeys.FORMAT, revision());
      commit(limits.targetSegmentSplit(), conditions);
    }
  }

  /** Splits all segments in two; any member may, on condition that no other has. */
  private void splitFullSegments(long nowMicros) {
    if (!segmentFull || nowMicros < nextSplitMicros || segmentSplit >= MAX_SPLIT) {
      return;
    }
    if (stateStore.tryAcquireWrites(1, 0)) {
      segmentFull = false;
      nextSplitMicros = nowMicros + SPLIT_INTERVAL_MICROS;
      commit(2 * segmentSplit, Map.of(MembershipKeys.FORMAT, revision()));
    }
  }

  private void commit(int split, Map<String, Long> conditions) {
    writing = true;
    FormatRecord record = new FormatRecord(ANNOUNCED, split);
    stateStore.commit(
        conditions,
        List.of(Mutation.put(MembershipKeys.FORMAT, MembershipCodec.encode(record))),
        outcome -> {
          writing = false;
          LOG.info(
              "storage format committed format={} segmentSplit={} status={} revision={}"
                  + " copy_revision={}",
              ANNOUNCED,
              split,
              outcome.status(),
              outcome.revision(),
              stateStore.revision());
        });
  }

  /** The revisions of all liveness and shard keys, if this version wrote all of them. */
  private Optional<Map<String, Long>> revisionsIfAllUpgraded() {
    Map<String, Long> revisions = new LinkedHashMap<>();
    for (String node : nodes) {
      Entry alive = stateStore.get(MembershipKeys.liveness(node));
      if (alive == null || MembershipCodec.liveness(alive).format() < ANNOUNCED) {
        return Optional.empty();
      }
      revisions.put(MembershipKeys.liveness(node), alive.modRevision());
    }
    for (int shard = 0; shard < nodes.size(); shard++) {
      if (!isOwnedByLiveIncarnation(table.record(shard))) {
        return Optional.empty();
      }
      revisions.put(table.key(shard), table.revision(shard));
    }
    return Optional.of(revisions);
  }

  private boolean isOwnedByLiveIncarnation(ShardRecord record) {
    if (!record.hasOwner()) {
      return false;
    }
    Entry alive = stateStore.get(MembershipKeys.liveness(record.owner()));
    return alive != null && record.incarnation() == MembershipCodec.liveness(alive).incarnation();
  }
}
