package gladeknot.jobs;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.ListPage;
import gladeknot.state.ListedKey;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves the final records of jobs to the archive, whose keys are neither listed nor watched. The
 * time and the requests that a controller needs to start therefore don't grow with the finished
 * jobs.
 *
 * <p>The owner of the first shard sweeps over the job records again and again. Each record is moved
 * by one transaction, on condition that it has not changed, so that a crash at any point loses
 * nothing and two controllers may sweep at once. Reads and writes come after all others. A record
 * on which an unfinished job depends stays, so that a start finds it in its list.
 */
public final class JobArchiver {
  private static final Logger LOG = LoggerFactory.getLogger(JobArchiver.class);

  private static final int SHARD = 0;
  private static final int PAGE_SIZE = 200;
  private static final int WRITES_PER_JOB = 2;

  /** Part of the burst of writes that is left to all other transactions. */
  private static final double RESERVED_WRITE_SHARE = 0.5;

  /** Pause between two sweeps. */
  private static final long SWEEP_INTERVAL_MICROS = 30_000_000;

  /** Pause after a read or a transaction that failed. */
  private static final long RETRY_MICROS = 1_000_000;

  /**
   * Time for which a transaction of an earlier version may still be delayed. Such a transaction
   * could accept a job again whose record was moved, because it sets no condition on the archive.
   */
  private static final long LATE_TRANSACTION_MICROS = 600_000_000;

  private static final String FIRST_PAGE = "";
  private static final long NEVER_MICROS = -1;

  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;

  /** Final records of the page that was read last, which have not been moved. */
  private final ArrayDeque<ListedKey> pending = new ArrayDeque<>();

  private String afterKey = FIRST_PAGE;
  private boolean lastPageRead;
  private boolean requestInFlight;
  private long allowedSinceMicros = NEVER_MICROS;
  private long nextMicros;
  private long moved;
  private long nowMicros;

  /** Creates an archiver, which does nothing before the storage format allows it. */
  public JobArchiver(StateStore stateStore, Membership membership, JobRegistry jobs) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.jobs = jobs;
  }

  /** Moves the next records, or reads the next page, when due. */
  public void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (!isAllowed() || requestInFlight || currentMicros < nextMicros) {
      return;
    }
    if (!pending.isEmpty()) {
      movePending();
    } else if (lastPageRead) {
      endSweep();
    } else {
      readPage();
    }
  }

  private boolean isAllowed() {
    if (!membership.format().allowsArchive()) {
      allowedSinceMicros = NEVER_MICROS;
      return false;
    }
    if (allowedSinceMicros == NEVER_MICROS) {
      allowedSinceMicros = nowMicros;
    }
    return nowMicros - allowedSinceMicros >= LATE_TRANSACTION_MICROS
        && membership.permits(ControlAction.COMMIT, SHARD);
  }

  private void readPage() {
    requestInFlight = stateStore.tryReadPage(Job.KEY_PREFIX, afterKey, PAGE_SIZE, this::onPage);
  }

  private void onPage(Optional<ListPage> reply) {
    requestInFlight = false;
    if (reply.isEmpty()) {
      nextMicros = nowMicros + RETRY_MICROS;
      return;
    }
    ListPage page = reply.get();
    Set<String> needed = jobs.dependenciesOfUnfinished();
    for (ListedKey listed : page.keys()) {
      afterKey = listed.key();
      boolean isFinal = JobRecordCodec.isFinalRecord(listed.key(), listed.entry().data());
      if (isFinal && !needed.contains(id(listed))) {
        pending.add(listed);
      }
    }
    lastPageRead = !page.more() || page.keys().isEmpty();
  }

  private static String id(ListedKey listed) {
    return listed.key().substring(Job.KEY_PREFIX.length());
  }

  private void endSweep() {
    if (moved > 0) {
      LOG.info("finished jobs archived count={}", moved);
    }
    moved = 0;
    afterKey = FIRST_PAGE;
    lastPageRead = false;
    nextMicros = nowMicros + SWEEP_INTERVAL_MICROS;
  }

  private void movePending() {
    int writes =
        Math.min(
            stateStore.limits().maxOperations(), stateStore.availableWrites(RESERVED_WRITE_SHARE));
    int count = Math.min(pending.size(), writes / WRITES_PER_JOB);
    if (count == 0 || !stateStore.tryAcquireWrites(count * WRITES_PER_JOB, RESERVED_WRITE_SHARE)) {
      return;
    }
    Map<String, Long> preconditions = new HashMap<>();
    List<Mutation> mutations = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ListedKey listed = pending.poll();
      preconditions.put(listed.key(), listed.entry().modRevision());
      mutations.add(Mutation.delete(listed.key()));
      mutations.add(Mutation.put(Job.archiveKey(id(listed)), listed.entry().data()));
    }
    requestInFlight = true;
    stateStore.commit(preconditions, mutations, outcome -> onMoved(outcome, count));
  }

  /** Handles the end of a transaction. Records that were not moved are found by the next sweep. */
  private void onMoved(CommitOutcome outcome, int count) {
    requestInFlight = false;
    if (outcome.status() == CommitStatus.COMMITTED) {
      moved += count;
    } else {
      nextMicros = nowMicros + RETRY_MICROS;
    }
  }
}
