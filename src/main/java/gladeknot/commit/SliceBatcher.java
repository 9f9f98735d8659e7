package gladeknot.commit;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.membership.StorageFormat;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.PackedValue;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Adds a slice's changes to a transaction, with all that they are conditional on. */
final class SliceBatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SliceBatcher.class);

  /** How long a slice whose segment is full starts nothing. */
  private static final long FULL_BACK_OFF_MICROS = 700_000;

  /** How long nothing is claimed from a slice whose segment is full. */
  private static final long FULL_CLAIM_BACK_OFF_MICROS = 2_000_000;

  /** How long a slice starts nothing whose tasks belong to another one as well. */
  private static final long DAMAGED_BACK_OFF_MICROS = 2_000_000;

  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final PendingChanges pending;
  private final SliceReloader reloader;
  private final BatchLimits limits;
  private final CommitState state;

  SliceBatcher(
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      PendingChanges pending,
      SliceReloader reloader,
      BatchLimits limits,
      CommitState state) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.pending = pending;
    this.reloader = reloader;
    this.limits = limits;
    this.state = state;
  }

  /**
   * Adds a slice to a batch. If what was decided does not hold any more or does not fit into the
   * segments, the slice is reloaded instead, which drops its uncommitted starts and claims.
   */
  void add(Slice slice, TransactionBatch batch) {
    if (slice.needsMigration() && hasRecordAtTarget(slice)) {
      // A second record, left by a version before: moving this one would overwrite its attempts.
      reloader.reload(slice);
      return;
    }
    Job job = jobs.active(slice.job());
    if (job == null) {
      dropUncommittedStarts(slice);
    }
    if (!claimsHold(slice) || !startsHold(slice, job)) {
      // Other shards have started some of the job's tasks since, or the quota is used up.
      reloader.reload(slice);
      return;
    }
    // Nothing of a job that has ended is on a machine any more: its record is removed.
    String record = job == null && !hasLiveAttempts(slice) ? null : slice.encode();
    if (!recordFits(slice, record, batch) || !claimsFit(slice, batch)) {
      return;
    }
    Set<String> keys = new HashSet<>();
    String key = slice.targetKey();
    putRecord(slice, record, batch, keys);
    requireOwnership(slice, batch, keys);
    requireLeaseDelegations(slice, batch, keys);
    if (job != null && slice.hasUncommittedStarts()) {
      requireJob(slice, job, batch, keys);
    }
    putClaims(slice, batch, keys);
    logConditions(slice, batch, keys);
    batch.add(SliceSnapshot.of(slice, key, keys));
  }

  private boolean hasRecordAtTarget(Slice slice) {
    return slices.segments().value(slice.targetKey()).contains(slice.job());
  }

  /** Starts of a job that has ended are not committed any more. */
  private void dropUncommittedStarts(Slice slice) {
    for (Attempt attempt : List.copyOf(slice.attemptsByTask().values())) {
      if (!attempt.committed()) {
        slices.removeAttempt(attempt);
      }
    }
    slice.dropClaims();
  }

  /** Whether all tasks that a slice claims are still pending where they are claimed from. */
  private boolean claimsHold(Slice slice) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      if (!slices.contains(from)
          || pending.isDirty(from)
          || !claim.getValue().stream().allMatch(from::isPending)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the quota and the zone constraints of its job allow a slice's uncommitted starts, and
   * its tasks belong to no other slice.
   */
  private boolean startsHold(Slice slice, Job job) {
    if (job == null || !slice.hasUncommittedStarts()) {
      return true;
    }
    if (!slices.integrity().holds(job)) {
      // Another slice may have started the same tasks. The monitor of slices reports it.
      long untilMicros = state.nowMicros() + DAMAGED_BACK_OFF_MICROS;
      slice.backOffUntil(untilMicros);
      slice.pendingClaims().keySet().forEach(from -> from.backOffUntil(untilMicros));
      return false;
    }
    return state.admission().admits(slice) && slices.zoneConstraintsHold(job.spec());
  }

  private static boolean hasLiveAttempts(Slice slice) {
    for (Attempt attempt : slice.attemptsByTask().values()) {
      if (!attempt.closed()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether a slice's segment can hold its record. If not, its tasks wait until the segment is
   * split, others have ended, or they are claimed. Ends are always written: they free space.
   */
  private boolean recordFits(Slice slice, String record, TransactionBatch batch) {
    if (!slice.hasUncommittedStarts()) {
      return true;
    }
    int recordBytes = record == null ? 0 : PackedValue.encodedBytes(slice.job(), record);
    if (batch.bytesAfter(slice.targetKey()) + recordBytes <= limits.maxValueBytes()) {
      return true;
    }
    membership.format().reportSegmentFull();
    reloader.reload(slice);
    slice.backOffUntil(state.nowMicros() + FULL_BACK_OFF_MICROS);
    return false;
  }

  /**
   * Whether the segments that a slice claims from can hold the records of what is left: claiming
   * tasks may make a record longer, or may be the reason for a slice's first one.
   */
  private boolean claimsFit(Slice slice, TransactionBatch batch) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      String remaining = from.encode(without(from.assigned(), claim.getValue()));
      int bytes = batch.bytesAfter(from.key()) + PackedValue.encodedBytes(from.job(), remaining);
      if (bytes > limits.maxValueBytes()) {
        reloader.reload(slice);
        from.backOffUntil(state.nowMicros() + FULL_CLAIM_BACK_OFF_MICROS);
        return false;
      }
    }
    return true;
  }

  private static void putRecord(
      Slice slice, String record, TransactionBatch batch, Set<String> keys) {
    if (slice.needsMigration()) {
      batch.put(slice.storedKey(), slice.job(), null);
      keys.add(slice.storedKey());
    }
    batch.put(slice.targetKey(), slice.job(), record);
    keys.add(slice.targetKey());
  }

  private void requireOwnership(Slice slice, TransactionBatch batch, Set<String> keys) {
    // A controller that knows an earlier format would look for the record, or make it, elsewhere.
    batch.require(StorageFormat.key(), membership.format().revision());
    String shardKey = Membership.shardKey(slice.shard());
    batch.requireCurrent(shardKey);
    keys.add(shardKey);
  }

  /** Ends by lease expiry hold only if no other controller has begun to renew the leases. */
  private static void requireLeaseDelegations(
      Slice slice, TransactionBatch batch, Set<String> keys) {
    for (Attempt attempt : slice.attemptsByTask().values()) {
      if (attempt.closed() && attempt.leaseExpired()) {
        String delegationKey = Membership.delegationKey(slice.shard());
        batch.requireEarliest(delegationKey, attempt.delegationRevision());
        keys.add(delegationKey);
      }
    }
  }

  private void requireJob(Slice slice, Job job, TransactionBatch batch, Set<String> keys) {
    // A cancellation that is committed before this start makes the start fail.
    String jobKey = Job.key(slice.job());
    batch.require(jobKey, job.modRevision());
    keys.add(jobKey);
    if (!BatchLimits.hasZoneConstraints(job)) {
      return;
    }
    // Where a job's tasks may be started depends on where its others are, in whichever slice. A
    // slice that is not known here came from one that is, whose segment was written with it.
    for (Slice other : slices.ofJob(slice.job())) {
      if (other != slice) {
        batch.requireCurrent(other.key());
        keys.add(other.key());
      }
    }
  }

  private static void putClaims(Slice slice, TransactionBatch batch, Set<String> keys) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      String remaining = from.encode(without(from.assigned(), claim.getValue()));
      batch.put(from.key(), from.job(), remaining);
      keys.add(from.key());
    }
  }

  /** Logs, for debugging, what a first record or a claim is conditional on. */
  private void logConditions(Slice slice, TransactionBatch batch, Set<String> keys) {
    boolean first = slice.storedKey() == null;
    if (!LOG.isDebugEnabled() || (!first && slice.pendingClaims().isEmpty())) {
      return;
    }
    Map<String, Long> conditions = new TreeMap<>(batch.conditions());
    conditions.keySet().retainAll(keys);
    LOG.debug(
        "slice write decided job={} shard={} first_record={} claims={} conditions={}"
            + " mark_revision={} copy_revision={}",
        slice.job(),
        slice.shard(),
        first,
        slice.pendingClaims().values(),
        conditions,
        membership.format().revision(),
        membership.cacheRevision());
  }

  private static BitSet without(BitSet all, BitSet claimed) {
    BitSet remaining = (BitSet) all.clone();
    remaining.andNot(claimed);
    return remaining;
  }
}
