package gladeknot.commit;

import gladeknot.commit.TransactionBatch.SliceSnapshot;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.membership.StorageFormat;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.StateStore;
import gladeknot.state.TransactionLimits;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.SegmentLayout;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the records of the shards that are ours: one transaction at a time, each conditional on
 * the shard's stamp and on the stamp of every key that it changes or relies on.
 *
 * <p>Keys of many slices or many machines are changed field by field: a transaction takes the
 * newest copy of such a key, changes its fields and is conditional on that copy's stamp.
 */
public final class TransactionCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);
  private static final long PAUSE_MICROS = 150_000;

  /** Ends wait so long for company; starts and what completes a slice don't. */
  private static final long END_WAIT_MICROS = 700_000;

  /** Until records out of place are looked at again when they could not be moved. */
  private static final long MOVE_AGAIN_MICROS = 500_000;

  /** What a slice relies on besides its job and claims: part, shard, format, delegation. */
  private static final int USUAL_CONDITIONS = 5;

  /** How long nothing is claimed from a slice whose part is full. */
  private static final long FULL_MICROS = 2_000_000;

  /** Write tokens that are left to submissions and aborts, as a share: users wait for those. */
  private static final double KEEP = 0.3;

  /** How small transactions become, one halving after the other, when one was refused as such. */
  private static final double MIN_SHRUNK = 0.05;

  private final StateStore stateStore;
  private final TransactionLimits limits;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TaskTracer tracer;
  private final Set<Slice> dirty = new LinkedHashSet<>();
  private final ArrayDeque<KeyMutation> keyMutations = new ArrayDeque<>();
  private final ArrayDeque<FieldMutation> fieldMutations = new ArrayDeque<>();
  private TransactionBatch inFlight;

  /** Parts that could not be moved as they are; looked at again after all others. */
  private final Set<String> unmovable = new HashSet<>();

  private boolean waiting;
  private boolean claimsNext;
  private double shrunk = 1;
  private long nextMicros;
  private long nextMoveMicros;
  private long nowMicros;
  private Runnable afterCommit = () -> {};

  /** A writer with nothing to write. */
  public TransactionCommitter(
      StateStore stateStore,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TaskTracer tracer) {
    this.tracer = tracer;
    this.stateStore = stateStore;
    this.limits = stateStore.limits();
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** What runs after each transaction whose outcome is known. */
  public void afterCommit(Runnable then) {
    afterCommit = then;
  }

  /** A slice's working copy has changed. */
  public void markDirty(Slice slice) {
    slice.markDirty(nowMicros);
    dirty.add(slice);
  }

  public void submit(KeyMutation extra) {
    keyMutations.add(extra);
  }

  public void submit(FieldMutation edit) {
    fieldMutations.add(edit);
  }

  /** Whether the part that a slice lies in is being written. */
  public boolean isInFlight(Slice slice) {
    return inFlight != null && inFlight.segments.containsKey(slice.key());
  }

  /** Sends the next transaction if there is one to send. */
  public void tick(long now) {
    nowMicros = now;
    flush();
  }

  /** Sends the next transaction if none is on its way and there is something to write. */
  public void flush() {
    if (inFlight != null || waiting || nowMicros < nextMicros) {
      return;
    }
    // A slice that was dropped with its job, before its first start was written, has nothing to
    // write.
    dirty.removeIf(s -> slices.get(s.shard(), s.job()) != s);
    if (moveMisplaced()) {
      return;
    }
    if (dirty.isEmpty() && keyMutations.isEmpty() && fieldMutations.isEmpty()) {
      return;
    }
    // Claims and all else go by turns. A claim takes two writes at least, and the room that it was
    // decided on stays taken until it is committed: if the others used up what there is each time,
    // it would wait for ever.
    TransactionBatch batch = claimsNext ? gatherClaims() : gather();
    claimsNext = (batch == null) == claimsNext;
    if (batch != null && batch.operations() == 0) {
      batch = claimsNext ? gatherClaims() : gather();
    }
    if (batch == null || batch.operations() == 0) {
      return;
    }
    dropTooLarge(batch);
    if (batch.operations() == 0) {
      return;
    }
    if (!send(batch)) {
      batch.keyMutations.forEach(keyMutations::addFirst);
      batch.fieldMutations.forEach(fieldMutations::addFirst);
    }
  }

  private boolean send(TransactionBatch batch) {
    if (!stateStore.tryAcquireWrites(batch.operations(), 0)) {
      return false;
    }
    inFlight = batch;
    stateStore.commit(batch.conditions, batch.writes(), this::finished);
    return true;
  }

  /**
   * Moves records that lie where an earlier format put them, a part at a time and before anything
   * else: such a part may be larger than any value may be soon. Returns whether a step is under way
   * or waits for tokens.
   */
  private boolean moveMisplaced() {
    if (nowMicros < nextMoveMicros) {
      return false;
    }
    for (int shard : membership.ownedShards()) {
      if (!membership.permits(ControlAction.COMMIT, shard)) {
        continue;
      }
      dropMisplacedClaims(shard);
      SegmentMigration.Step step =
          SegmentMigration.next(slices.inShard(shard), mostOperations(), unmovable);
      if (step != null) {
        return move(step);
      }
    }
    unmovable.clear();
    nextMoveMicros = nowMicros + MOVE_AGAIN_MICROS;
    return false;
  }

  /** What was only decided is decided again once the record is where it belongs. */
  private void dropMisplacedClaims(int shard) {
    for (Slice s : List.copyOf(slices.inShard(shard))) {
      if (s.needsMigration() && !s.pendingClaims().isEmpty()) {
        reload(s);
      }
    }
  }

  private boolean move(SegmentMigration.Step step) {
    TransactionBatch batch = new TransactionBatch(stateStore, slices);
    for (Slice s : step.moving()) {
      if (conditionsFit(s, batch)) {
        gather(s, batch);
      }
    }
    for (Slice s : step.staying()) {
      // Written anew, and so in the shorter form; what it has besides its record goes later.
      if (!dirty.contains(s)) {
        batch.put(step.part(), s.job(), s.encode());
      }
    }
    // A record must not leave one part without entering the other: all of it goes, or nothing.
    if (batch.slices.isEmpty() || !batch.tooLarge(limits.maxValueBytes()).isEmpty()) {
      unmovable.add(step.part());
      return false;
    }
    // While its tokens are missing nothing else takes those that come.
    send(batch);
    return true;
  }

  /**
   * Leaves out parts that the service would not take: what is in them goes when more has ended, and
   * nothing is sent again that was refused for its size.
   */
  private void dropTooLarge(TransactionBatch batch) {
    for (String key : batch.tooLarge(limits.maxValueBytes())) {
      LOG.info("{} would be too large", key);
      List<SliceSnapshot> dropped =
          batch.slices.stream().filter(c -> c.keys().contains(key)).toList();
      boolean claims = dropped.stream().anyMatch(c -> !c.claims().isEmpty());
      if (claims) {
        // What is taken and whom it is taken from go together or not at all.
        batch.segments.clear();
        batch.slices.forEach(c -> reload(c.slice()));
        batch.slices.clear();
        return;
      }
      batch.segments.remove(key);
      batch.conditions.remove(key);
      batch.slices.removeAll(dropped);
    }
  }

  /** How many writes a transaction may have by its size and by the tokens that are left. */
  private int room(double keep) {
    return Math.min(mostOperations(), stateStore.availableWrites(keep));
  }

  private int mostOperations() {
    return Math.max(2, (int) (limits.maxOperations() * shrunk));
  }

  /**
   * Whether a transaction that holds something already can take a slice's conditions as well: its
   * own part and shard, its job, other slices of it that decide on zones, parts it claims from.
   */
  private boolean conditionsFit(Slice s, TransactionBatch batch) {
    int more = USUAL_CONDITIONS + s.pendingClaims().size() + (s.needsMigration() ? 1 : 0);
    Job job = jobs.active(s.job());
    if (job != null
        && s.hasUncommittedStarts()
        && (job.spec().spread() || job.spec().colocated())) {
      more += slices.ofJob(s.job()).size();
    }
    int most = limits.maxConditions(mostOperations());
    return batch.slices.isEmpty() || batch.conditions.size() + more <= most;
  }

  /**
   * Gathers ends, starts without claims and other changes: part by part, so that one write serves
   * all that has happened in it.
   */
  private TransactionBatch gather() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices);
    int room = room(KEEP);
    if (room <= 0) {
      return batch;
    }
    gatherOthers(batch, Math.max(1, room / 2));
    Set<String> chosen = new HashSet<>();
    for (Slice s : dirty) {
      boolean ready = s.pendingClaims().isEmpty() && !s.needsMigration() && mayWrite(s);
      if (ready && due(s) && batch.operations() + chosen.size() < room) {
        chosen.add(s.key());
      }
    }
    if (!chosen.isEmpty()) {
      for (Slice s : List.copyOf(dirty)) {
        if (s.pendingClaims().isEmpty()
            && !s.needsMigration()
            && chosen.contains(s.key())
            && batch.bytes() < limits.maxTransactionBytes()
            && conditionsFit(s, batch)) {
          gather(s, batch);
        }
      }
    }
    return batch;
  }

  /** Whether what a slice has to write can't wait for company any longer. */
  private boolean due(Slice s) {
    return nowMicros - s.dirtySinceMicros() >= END_WAIT_MICROS
        || s.hasUncommittedStarts()
        || s.isComplete()
        || jobs.active(s.job()) == null;
  }

  /**
   * Gathers claims: they rely on other shards' parts, and what fails with them is little. Null if
   * there are some that tokens are still to come for.
   */
  private TransactionBatch gatherClaims() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices);
    int room = room(KEEP);
    boolean wanting = false;
    for (Slice s : List.copyOf(dirty)) {
      if (s.pendingClaims().isEmpty() || s.needsMigration() || !mayWrite(s)) {
        continue;
      }
      Set<String> keys = new HashSet<>(batch.segments.keySet());
      keys.add(s.key());
      s.pendingClaims().keySet().forEach(from -> keys.add(from.key()));
      if (keys.size() > room
          || batch.bytes() > limits.maxTransactionBytes()
          || !conditionsFit(s, batch)) {
        wanting = true;
        continue;
      }
      if (claimTwice(s, batch)) {
        // Two claims of the same tasks must not go as one transaction: each would find them free.
        continue;
      }
      gather(s, batch);
    }
    return batch.operations() == 0 && wanting ? null : batch;
  }

  private static boolean claimTwice(Slice s, TransactionBatch batch) {
    for (SliceSnapshot c : batch.slices) {
      if (c.slice().job().equals(s.job())) {
        return true;
      }
    }
    return false;
  }

  private void gatherOthers(TransactionBatch batch, int room) {
    for (int n = fieldMutations.size(); n > 0; n--) {
      FieldMutation e = fieldMutations.poll();
      if (!mayGo(e.shard(), () -> e.callback().onOutcome(false))) {
        if (membership.ownedShards().contains(e.shard())) {
          fieldMutations.add(e);
        }
        continue;
      }
      if (!batch.segments.containsKey(e.key()) && batch.operations() >= room) {
        fieldMutations.add(e);
        continue;
      }
      Map<String, Object> before = slices.segment(e.key());
      Map<String, Object> now = batch.segments.getOrDefault(e.key(), before);
      if (!Objects.equals(now.get(e.field()), e.expected())) {
        e.callback().onOutcome(false);
        continue;
      }
      batch.put(e.key(), e.field(), e.value());
      batch.fieldMutations.add(e);
      batch.condition(Membership.shardKey(e.shard()));
    }
    for (int n = keyMutations.size(); n > 0 && batch.operations() < room; n--) {
      KeyMutation e = keyMutations.poll();
      if (!mayGo(e.shard(), () -> e.callback().onOutcome(false))) {
        if (membership.ownedShards().contains(e.shard())) {
          keyMutations.add(e);
        }
        continue;
      }
      if (e.conditions().keySet().stream().anyMatch(batch.conditions::containsKey)) {
        keyMutations.add(e);
        continue;
      }
      batch.keyMutations.add(e);
      batch.whole.add(e.mutation());
      batch.conditions.putAll(e.conditions());
      batch.condition(Membership.shardKey(e.shard()));
    }
  }

  /** Whether what a slice has to write may be written now. */
  private boolean mayWrite(Slice s) {
    return membership.permits(ControlAction.SCHEDULE, s.shard())
        || (membership.permits(ControlAction.COMMIT, s.shard()) && !s.hasUncommittedStarts());
  }

  /** Whether a shard's changes may be written now; what can't ever be any more is dropped. */
  private boolean mayGo(int shard, Runnable dropped) {
    if (membership.permits(ControlAction.COMMIT, shard)) {
      return true;
    }
    if (!membership.ownedShards().contains(shard)) {
      dropped.run();
    }
    return false;
  }

  /** Whether all tasks that a slice is to take over are still free where they are taken from. */
  private boolean claimsStand(Slice s) {
    for (Map.Entry<Slice, BitSet> claim : s.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      if (slices.get(from.shard(), from.job()) != from
          || dirty.contains(from)
          || !claim.getValue().stream().allMatch(from::isPending)) {
        return false;
      }
    }
    return true;
  }

  /** Starts of a job that is over are not written any more. */
  private void dropStarts(Slice s) {
    for (Attempt a : List.copyOf(s.attemptsByTask().values())) {
      if (!a.committed()) {
        slices.removeAttempt(a);
      }
    }
    s.dropClaims();
  }

  private static BitSet without(BitSet all, BitSet taken) {
    BitSet left = (BitSet) all.clone();
    left.andNot(taken);
    return left;
  }

  /** The parts that a slice's next commit changes: two if its record moves. */
  private static Set<String> partsOf(Slice s) {
    return s.needsMigration() ? Set.of(s.storedKey(), s.targetKey()) : Set.of(s.targetKey());
  }

  private void gather(Slice s, TransactionBatch batch) {
    Job job = jobs.active(s.job());
    if (job == null) {
      dropStarts(s);
    }
    if (!claimsStand(s)
        || (job != null && s.hasUncommittedStarts() && !slices.zoneConstraintsHold(job.spec()))) {
      // Other shards have started some of the job's tasks since: what was decided is dropped.
      reload(s);
      return;
    }
    List<Attempt> live = new ArrayList<>();
    List<Attempt> closed = new ArrayList<>();
    for (Attempt a : s.attemptsByTask().values()) {
      (a.closed() ? closed : live).add(a);
    }
    // Nothing of a job that is over is on a machine any more: its record goes.
    String record = job == null && live.isEmpty() ? null : s.encode();
    String key = s.targetKey();
    int size =
        batch.partBytes(key)
            + (record == null ? 0 : record.length() + s.job().length() + SliceRegistry.FIELD_BYTES);
    if (s.hasUncommittedStarts() && size > limits.maxValueBytes()) {
      // The part is full: its tasks wait until it is split, others have ended, or they are claimed.
      membership.format().reportSegmentFull();
      reload(s);
      s.backOffUntil(nowMicros + END_WAIT_MICROS);
      return;
    }
    for (Map.Entry<Slice, BitSet> claim : s.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      // Taking tasks from a slice may make its record longer, or its first: a full part has no
      // room.
      int bytes = batch.partBytes(from.key());
      String left = from.encode(without(from.assigned(), claim.getValue()));
      int more = left.length() + from.job().length() + SliceRegistry.FIELD_BYTES;
      if (bytes + more > limits.maxValueBytes()) {
        reload(s);
        from.backOffUntil(nowMicros + FULL_MICROS);
        return;
      }
    }
    Set<String> keys = new HashSet<>(partsOf(s));
    keys.add(Membership.shardKey(s.shard()));
    if (s.needsMigration()) {
      batch.put(s.storedKey(), s.job(), null);
    }
    batch.put(key, s.job(), record);
    // A writer that knows an earlier format would look for the record, or make it, elsewhere.
    batch.conditions.put(StorageFormat.key(), membership.format().revision());
    batch.condition(Membership.shardKey(s.shard()));
    for (Attempt a : closed) {
      if (a.leaseExpired()) {
        // Another controller may have begun to renew leases in our place: then nothing lapsed.
        batch.conditions.merge(
            Membership.delegationKey(s.shard()), a.delegationRevision(), Math::min);
        keys.add(Membership.delegationKey(s.shard()));
      }
    }
    if (job != null && s.hasUncommittedStarts()) {
      // A cancellation that is committed before this start makes the start fail.
      batch.conditions.put(Job.key(s.job()), job.modRevision());
      keys.add(Job.key(s.job()));
      if (job.spec().spread() || job.spec().colocated()) {
        // Where a job's tasks may go depends on where its others are, in whichever slice. A slice
        // that is not known here came from one that is, whose part was written with it.
        for (Slice other : slices.ofJob(s.job())) {
          if (other != s) {
            batch.condition(other.key());
            keys.add(other.key());
          }
        }
      }
    }
    for (Map.Entry<Slice, BitSet> claim : s.pendingClaims().entrySet()) {
      Slice from = claim.getKey();
      batch.put(from.key(), from.job(), from.encode(without(from.assigned(), claim.getValue())));
      keys.add(from.key());
    }
    batch.slices.add(
        new SliceSnapshot(
            s,
            key,
            s.version(),
            (BitSet) s.done().clone(),
            live,
            closed,
            Map.copyOf(s.pendingClaims()),
            keys));
  }

  private void finished(CommitOutcome outcome) {
    TransactionBatch batch = inFlight;
    switch (outcome.status()) {
      case COMMITTED -> {
        inFlight = null;
        shrunk = Math.min(1, shrunk * 2);
        batch.segments.forEach(slices::onSegmentWritten);
        batch.slices.forEach(this::saved);
        batch.keyMutations.forEach(e -> e.callback().onOutcome(true));
        batch.fieldMutations.forEach(e -> e.callback().onOutcome(true));
        batch.segments.keySet().forEach(this::refreshSegment);
      }
      case CONFLICT -> {
        LOG.info("records changed elsewhere: {}", outcome.conflictingKeys());
        waiting = true;
        inFlight = null;
        stateStore.whenRevisionReached(
            outcome.revision(),
            () -> {
              waiting = false;
              conflict(batch, outcome.conflictingKeys());
              afterCommit.run();
            });
        return;
      }
      case UNKNOWN -> {
        // It may have been carried out, or may be later: a new stamp on each shard's key makes
        // that impossible, then the copy tells what was.
        inFlight = null;
        TreeSet<Integer> shards = new TreeSet<>();
        batch.slices.forEach(c -> shards.add(c.slice().shard()));
        batch.keyMutations.forEach(e -> shards.add(e.shard()));
        batch.fieldMutations.forEach(e -> shards.add(e.shard()));
        LOG.info("a transaction for shards {} got no answer", shards);
        shards.forEach(membership::markInDoubt);
        keyMutations.addAll(batch.keyMutations);
        fieldMutations.addAll(batch.fieldMutations);
        batch.segments.keySet().forEach(this::refreshSegment);
      }
      default -> {
        if (outcome.status() == CommitStatus.REJECTED) {
          // Too large in some way: never repeated as it is.
          shrunk = Math.max(MIN_SHRUNK, shrunk / 2);
        }
        inFlight = null;
        nextMicros = nowMicros + PAUSE_MICROS;
        keyMutations.addAll(batch.keyMutations);
        fieldMutations.addAll(batch.fieldMutations);
        batch.segments.keySet().forEach(this::refreshSegment);
      }
    }
    afterCommit.run();
  }

  /** Drops what was decided on keys that have changed; the rest of the batch goes again. */
  private void conflict(TransactionBatch batch, List<String> failed) {
    batch.segments.keySet().forEach(this::refreshSegment);
    for (SliceSnapshot c : batch.slices) {
      if (failed.stream().anyMatch(c.keys()::contains) && dirty.contains(c.slice())) {
        reload(c.slice());
      }
    }
    for (KeyMutation e : batch.keyMutations) {
      if (failed.stream().anyMatch(e.conditions()::containsKey)) {
        e.callback().onOutcome(false);
      } else {
        keyMutations.add(e);
      }
    }
    fieldMutations.addAll(batch.fieldMutations);
  }

  private void saved(SliceSnapshot c) {
    Slice s = c.slice();
    if (slices.get(s.shard(), s.job()) != s) {
      // Its job was over before it was known that its first start was committed: the record counts.
      dirty.remove(s);
      takeIn(slices.load(s.shard(), s.job(), jobs.active(s.job())));
      return;
    }
    s.markStored(c.key(), c.done());
    for (Attempt a : c.live()) {
      if (!a.committed()) {
        a.markCommitted();
        tracer.committed(a.traceId(), a.host(), s.shard(), membership.term(s.shard()));
        LOG.info("start {} shard {} term {}", a, s.shard(), membership.term(s.shard()));
      }
    }
    c.closed().forEach(slices::removeAttempt);
    c.claims()
        .forEach(
            (from, tasks) -> {
              s.removeClaim(from);
              slices.load(from.shard(), from.job(), jobs.active(from.job()));
            });
    if (s.version() == c.version()) {
      dirty.remove(s);
      s.markClean();
    }
    if (!slices.segment(s.key()).containsKey(s.job())) {
      dirty.remove(s);
      slices.load(s.shard(), s.job(), jobs.active(s.job()));
    }
  }

  /** Takes in what has changed in a part, unless it is being written: then once that has ended. */
  public void refreshSegment(String key) {
    boolean machines = !key.startsWith(SegmentLayout.KEY_PREFIX);
    if (machines || (inFlight != null && inFlight.segments.containsKey(key))) {
      return;
    }
    slices.detectChanges(
        key,
        (part, shard, id) -> {
          Slice s = slices.get(shard, id);
          if (s != null && membership.ownedShards().contains(shard)) {
            reload(s);
          } else {
            takeIn(slices.load(shard, id, jobs.active(id)));
          }
        });
  }

  /** Reads a slice anew; what was only decided is dropped, ends that were seen are kept. */
  private void reload(Slice s) {
    dirty.remove(s);
    takeIn(slices.load(s.shard(), s.job(), jobs.active(s.job())));
  }

  /** Writes what a slice just read has to write: ends that were seen, or that its job is over. */
  private void takeIn(Slice now) {
    if (now != null && membership.ownedShards().contains(now.shard())) {
      boolean ended = now.attemptsByTask().values().stream().anyMatch(a -> a.closed());
      if (ended || (jobs.active(now.job()) == null && now.attemptsByTask().isEmpty())) {
        for (Attempt a : now.attemptsByTask().values()) {
          if (a.closed() && a.succeeded()) {
            now.markDone(a.task(), jobs.active(now.job()));
          }
        }
        markDirty(now);
      }
    }
  }

  /** A shard has become ours, or its unclear commits have been settled. */
  public void onAcquired(int shard) {
    for (String key : List.copyOf(stateStore.withPrefix(SegmentLayout.keyPrefix(shard)).keySet())) {
      refreshSegment(key);
    }
    for (Slice s : List.copyOf(slices.inShard(shard))) {
      reload(s);
    }
  }

  /** A shard has ceased to be ours: its slices are what their records say. */
  public void onReleased(int shard) {
    dirty.removeIf(s -> s.shard() == shard);
    slices.forgetAttempts(shard);
    tracer.shardReleased(shard);
    for (Slice s : List.copyOf(slices.inShard(shard))) {
      slices.load(shard, s.job(), jobs.active(s.job()));
    }
  }
}
