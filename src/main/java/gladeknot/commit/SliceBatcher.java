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

/** Adds a slice's changes to a transaction, together with their preconditions. */
final class SliceBatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SliceBatcher.class);

  /** Backoff of starts in a slice whose segment is full, in microseconds. */
  private static final long FULL_SEGMENT_BACKOFF_MICROS = 700_000;

  /** Backoff of claims from a slice whose segment is full, in microseconds. */
  private static final long FULL_SEGMENT_CLAIM_BACKOFF_MICROS = 2_000_000;

  /** Backoff of starts in a slice whose tasks also belong to another slice, in microseconds. */
  private static final long INTEGRITY_BACKOFF_MICROS = 2_000_000;

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
   * Adds a slice to a batch. If its starts or claims are no longer valid or do not fit into the
   * segments, the slice is reloaded instead, which drops its uncommitted starts and claims.
   */
  void add(Slice slice, TransactionBatch batch) {
    if (slice.needsMigration() && hasRecordAtTarget(slice)) {
      // An earlier version left a second record in the target segment. Moving this record there
      // would overwrite the attempts of the second record.
      reloader.reload(slice);
      return;
    }
    Job job = jobs.active(slice.job());
    if (job == null) {
      dropUncommittedStarts(slice);
    }
    if (!claimsAreValid(slice) || !startsAreAllowed(slice, job)) {
      // Another shard has started some of the job's tasks meanwhile, or the quota is used up.
      reloader.reload(slice);
      return;
    }
    // The job has ended and none of its attempts is live: the slice's record is deleted.
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
    logPreconditions(slice, batch, keys);
    batch.add(SliceSnapshot.of(slice, key, keys));
  }

  private boolean hasRecordAtTarget(Slice slice) {
    return slices.segments().value(slice.targetKey()).contains(slice.job());
  }

  /** Drops the uncommitted starts and the claims of a slice whose job has ended. */
  private void dropUncommittedStarts(Slice slice) {
    for (Attempt attempt : List.copyOf(slice.attemptsByTask().values())) {
      if (!attempt.committed()) {
        slices.removeAttempt(attempt);
      }
    }
    slice.dropClaims();
  }

  /** Returns whether all tasks that a slice claims are still pending in their source slices. */
  private boolean claimsAreValid(Slice slice) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice source = claim.getKey();
      if (!slices.contains(source)
          || pending.isDirty(source)
          || !claim.getValue().stream().allMatch(source::isPending)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a slice's uncommitted starts are allowed by the quota and by the job's zone
   * constraints, and no task of the job belongs to two slices.
   */
  private boolean startsAreAllowed(Slice slice, Job job) {
    if (job == null || !slice.hasUncommittedStarts()) {
      return true;
    }
    if (!slices.integrity().holds(job)) {
      // Another slice may have started the same tasks. SliceMonitor reports the violation.
      long untilMicros = state.nowMicros() + INTEGRITY_BACKOFF_MICROS;
      slice.backOffUntil(untilMicros);
      slice.pendingClaims().keySet().forEach(source -> source.backOffUntil(untilMicros));
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
   * Returns whether a slice's segment can hold its record. If not, the slice's tasks wait until the
   * segment is split, other tasks have ended or other shards claim them. Changes without starts are
   * always written, because ends free space.
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
    slice.backOffUntil(state.nowMicros() + FULL_SEGMENT_BACKOFF_MICROS);
    return false;
  }

  /**
   * Returns whether the segments that a slice claims from can hold the records of the remaining
   * tasks. A claim may make the source slice's record longer or create its first record.
   */
  private boolean claimsFit(Slice slice, TransactionBatch batch) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice source = claim.getKey();
      String remaining = source.encode(withoutTasks(source.assigned(), claim.getValue()));
      int bytes =
          batch.bytesAfter(source.key()) + PackedValue.encodedBytes(source.job(), remaining);
      if (bytes > limits.maxValueBytes()) {
        reloader.reload(slice);
        source.backOffUntil(state.nowMicros() + FULL_SEGMENT_CLAIM_BACKOFF_MICROS);
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
    // A controller that knows only an earlier format would look for the record, or create it, in
    // another segment.
    batch.require(StorageFormat.key(), membership.format().revision());
    String shardKey = Membership.shardKey(slice.shard());
    batch.requireCurrent(shardKey);
    keys.add(shardKey);
  }

  /**
   * Makes ends by lease expiry conditional on the lease delegation entry. Such an end is valid only
   * if no other controller has begun to renew the leases.
   */
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
    // If a cancellation of the job is committed first, the transaction fails.
    String jobKey = Job.key(slice.job());
    batch.require(jobKey, job.modRevision());
    keys.add(jobKey);
    if (!BatchLimits.hasZoneConstraints(job)) {
      return;
    }
    // Zone constraints depend on the zones of the job's tasks in all its slices. A slice that this
    // controller does not know yet took its tasks from a known slice, whose segment was written in
    // the same transaction.
    for (Slice other : slices.ofJob(slice.job())) {
      if (other != slice) {
        batch.requireCurrent(other.key());
        keys.add(other.key());
      }
    }
  }

  private static void putClaims(Slice slice, TransactionBatch batch, Set<String> keys) {
    for (Map.Entry<Slice, BitSet> claim : slice.pendingClaims().entrySet()) {
      Slice source = claim.getKey();
      String remaining = source.encode(withoutTasks(source.assigned(), claim.getValue()));
      batch.put(source.key(), source.job(), remaining);
      keys.add(source.key());
    }
  }

  /** Logs the preconditions of a slice's first record or of a claim at debug level. */
  private void logPreconditions(Slice slice, TransactionBatch batch, Set<String> keys) {
    boolean firstRecord = slice.storedKey() == null;
    if (!LOG.isDebugEnabled() || (!firstRecord && slice.pendingClaims().isEmpty())) {
      return;
    }
    Map<String, Long> preconditions = new TreeMap<>(batch.preconditions());
    preconditions.keySet().retainAll(keys);
    LOG.debug(
        "slice write decided job={} shard={} first_record={} claims={} conditions={}"
            + " mark_revision={} copy_revision={}",
        slice.job(),
        slice.shard(),
        firstRecord,
        slice.pendingClaims().values(),
        preconditions,
        membership.format().revision(),
        membership.cacheRevision());
  }

  private static BitSet withoutTasks(BitSet all, BitSet claimed) {
    BitSet remaining = (BitSet) all.clone();
    remaining.andNot(claimed);
    return remaining;
  }
}
