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
 * <p>The first version of this program writes no storage format. Later versions announce their
 * format with their liveness key. Once all members have announced it, and each shard is owned by a
 * live incarnation of a member, one member commits the storage format, conditional on all their
 * liveness and shard keys. From then on, no process of the first version runs. No transaction that
 * such a process may have sent can still be executed, because each is conditional on a shard's key
 * that has changed since. Every write of slices is conditional on the revision of the storage
 * format.
 *
 * <p>A storage format comes into force in this controller once the watch has reached its revision.
 * The watch cache shows this controller's own commit earlier, ahead of records that other
 * controllers committed before it under the former layout. Until the watch has delivered those
 * records, the absence of a record under the new layout proves nothing.
 */
public final class StorageFormat {
  private static final Logger LOG = LoggerFactory.getLogger(StorageFormat.class);

  /** First format in which final job records may be moved to the archive. */
  private static final int ARCHIVE_FORMAT = 3;

  /** First format in which quota shares need not be whole thousandths. */
  private static final int EXACT_SHARES_FORMAT = 4;

  /** Format that this version announces. */
  static final int ANNOUNCED = EXACT_SHARES_FORMAT;

  /** Interval between two attempts to commit the storage format, in microseconds. */
  private static final long COMMIT_INTERVAL_MICROS = 1_000_000;

  /**
   * Minimum interval between two segment splits, in microseconds. Records migrate after a split,
   * and only then is it known whether the split was enough.
   */
  private static final long SPLIT_INTERVAL_MICROS = 10_000_000;

  /**
   * Maximum segment split. It keeps segment numbers small and lets a shard hold a few hundred
   * thousand tasks at once.
   */
  private static final int MAX_SEGMENT_SPLIT = 256;

  private final List<String> nodes;
  private final boolean firstMember;
  private final StateStore stateStore;
  private final TransactionLimits limits;
  private final ShardTable table;

  /** Newest storage format in the watch cache; may not be in force yet. */
  private Entry newestEntry;

  /** Storage format in force; null while there is none. */
  private Entry entryInForce;

  private FormatRecord formatInForce = FormatRecord.FIRST;
  private boolean commitInFlight;
  private boolean segmentFull;
  private long nextAttemptMicros;
  private long nextSplitMicros;

  /** Creates the storage format of the first version, which applies until one is stored. */
  StorageFormat(
      Settings settings, StateStore stateStore, TransactionLimits limits, ShardTable table) {
    this.nodes = settings.nodes();
    this.firstMember = nodes.get(0).equals(settings.node());
    this.stateStore = stateStore;
    this.limits = limits;
    this.table = table;
  }

  /** Returns the key of the storage format. */
  public static String key() {
    return MembershipKeys.FORMAT;
  }

  /** Called when the storage format has changed in the watch cache. */
  public void onChange() {
    newestEntry = stateStore.get(MembershipKeys.FORMAT);
    onRevisionReached();
  }

  /** Called when the watch has reached a new revision: a storage format up to it takes effect. */
  public void onRevisionReached() {
    boolean revisionReached =
        newestEntry == null || newestEntry.modRevision() <= stateStore.revision();
    if (!isSuperseded() || !revisionReached) {
      return;
    }
    entryInForce = newestEntry;
    // Decoded once, because the split is looked up very often.
    formatInForce =
        entryInForce == null ? FormatRecord.FIRST : MembershipCodec.format(entryInForce);
    segmentFull = false;
    LOG.info(
        "storage format in force segmentSplit={} mark_revision={} copy_revision={}",
        segmentSplit(),
        revision(),
        stateStore.revision());
  }

  /**
   * Returns whether the watch cache shows a newer storage format than the format in force. A
   * transaction that is conditional on the format in force would then fail.
   */
  public boolean isSuperseded() {
    return newestEntry != entryInForce;
  }

  /** Returns the revision of the storage format in force; 0 while there is none. */
  public long revision() {
    return entryInForce == null ? 0 : entryInForce.modRevision();
  }

  /** Returns whether no member runs the first version any more. */
  public boolean agreed() {
    return entryInForce != null;
  }

  /**
   * Returns whether all members read job records in the archive, so that records may be moved
   * there.
   */
  public boolean allowsArchive() {
    return formatInForce.format() >= ARCHIVE_FORMAT;
  }

  /**
   * Returns whether all members read quota shares that are no whole thousandths, and keep them when
   * they change a record.
   */
  public boolean allowsExactShares() {
    return formatInForce.format() >= EXACT_SHARES_FORMAT;
  }

  /** Returns the number of segments that each of the first version's segments is split into. */
  public int segmentSplit() {
    return formatInForce.segmentSplit();
  }

  /**
   * Records that a segment is too full to hold further tasks although machines for them exist.
   * Segments are then split, so that the size limit of a stored value does not bound the number of
   * running tasks.
   */
  public void reportSegmentFull() {
    segmentFull = true;
  }

  /**
   * Commits the storage format once its conditions are met, and again if a larger segment split is
   * needed; only the first member in the settings does so. Any member splits full segments.
   */
  void tick(long nowMicros) {
    if (commitInFlight || isSuperseded()) {
      return;
    }
    if (agreed()) {
      limits.onAllMembersUpgraded();
      splitFullSegments(nowMicros);
    }
    boolean commitNeeded =
        formatInForce.format() < ANNOUNCED || segmentSplit() < limits.targetSegmentSplit();
    if (!firstMember || commitInFlight || nowMicros < nextAttemptMicros || !commitNeeded) {
      return;
    }
    nextAttemptMicros = nowMicros + COMMIT_INTERVAL_MICROS;
    Optional<Map<String, Long>> upgradedRevisions = revisionsIfAllUpgraded();
    if (upgradedRevisions.isPresent() && stateStore.tryAcquireWrites(1, 0)) {
      Map<String, Long> preconditions = upgradedRevisions.get();
      preconditions.put(MembershipKeys.FORMAT, revision());
      int split = Math.max(segmentSplit(), limits.targetSegmentSplit());
      commit(new FormatRecord(ANNOUNCED, split), preconditions);
    }
  }

  /** Splits all segments in two, on condition that no other member has done so. */
  private void splitFullSegments(long nowMicros) {
    if (!segmentFull || nowMicros < nextSplitMicros || segmentSplit() >= MAX_SEGMENT_SPLIT) {
      return;
    }
    if (stateStore.tryAcquireWrites(1, 0)) {
      segmentFull = false;
      nextSplitMicros = nowMicros + SPLIT_INTERVAL_MICROS;
      commit(
          new FormatRecord(formatInForce.format(), 2 * segmentSplit()),
          Map.of(MembershipKeys.FORMAT, revision()));
    }
  }

  private void commit(FormatRecord record, Map<String, Long> preconditions) {
    commitInFlight = true;
    stateStore.commit(
        preconditions,
        List.of(Mutation.put(MembershipKeys.FORMAT, MembershipCodec.encode(record))),
        outcome -> {
          commitInFlight = false;
          LOG.info(
              "storage format committed format={} segmentSplit={} status={} revision={}"
                  + " copy_revision={}",
              record.format(),
              record.segmentSplit(),
              outcome.status(),
              outcome.revision(),
              stateStore.revision());
        });
  }

  /**
   * Returns the revisions of all liveness and shard keys, if all members announce this version's
   * format or a later one and their live incarnations own all shards.
   */
  private Optional<Map<String, Long>> revisionsIfAllUpgraded() {
    Map<String, Long> revisions = new LinkedHashMap<>();
    for (String node : nodes) {
      Entry liveness = stateStore.get(MembershipKeys.liveness(node));
      if (liveness == null || MembershipCodec.liveness(liveness).format() < ANNOUNCED) {
        return Optional.empty();
      }
      revisions.put(MembershipKeys.liveness(node), liveness.modRevision());
    }
    for (int shard = 0; shard < table.shardCount(); shard++) {
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
    Entry liveness = stateStore.get(MembershipKeys.liveness(record.owner()));
    return liveness != null
        && record.incarnation() == MembershipCodec.liveness(liveness).incarnation();
  }
}
