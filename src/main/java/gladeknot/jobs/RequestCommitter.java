package gladeknot.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import gladeknot.state.CommitOutcome;
import gladeknot.state.StateStore;
import gladeknot.tracing.TaskTracer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits submissions and cancellations, many in one transaction, and answers them.
 *
 * <p>One transaction is in flight at a time. Requests that arrive in the meantime wait in a queue.
 * A request that waits for too long is refused and may be repeated.
 */
final class RequestCommitter {
  /** Handles requests whose job changed while they waited, so that they can't be committed. */
  interface OutdatedRequestListener {
    /** Handles a submission whose job has been accepted in the meantime. */
    void onAlreadyAccepted(PendingRequest.Submission submission);

    /**
     * Handles a submission that conflicts with the record of a job that the registry does not know.
     */
    void onConflict(PendingRequest.Submission submission);

    /** Handles a cancellation whose job is not, or no longer, unfinished. */
    void onNoUnfinishedJob(PendingRequest.Cancellation cancellation);
  }

  private static final Logger LOG = LoggerFactory.getLogger(RequestCommitter.class);
  private static final int MAX_QUEUED_REQUESTS = 300;

  /** Maximum number of rejected submissions that are remembered. */
  private static final int MAX_REJECTED_SUBMISSIONS = 1000;

  private static final long MAX_WAIT_MICROS = 2_500_000;

  /** Delay until the next transaction after the state service has throttled one. */
  private static final long THROTTLED_DELAY_MICROS = 60_000;

  /** Delay until the next transaction after the state service has failed. */
  private static final long FAILED_DELAY_MICROS = 100_000;

  /** Share of the write tokens left to more urgent transactions. Users' requests leave none. */
  private static final int RESERVED_WRITE_SHARE = 0;

  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final JobAnswers answers;
  private final TaskTracer tracer;
  private final JobRequestHandler.ClusterView cluster;
  private final OutdatedRequestListener outdatedRequests;
  private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();

  /**
   * Jobs whose requests were part of a transaction that the state service rejected as malformed.
   * Each of these requests is committed alone, because any of them may be at fault.
   */
  private final Set<String> suspects = new HashSet<>();

  /** Submissions whose records the state service rejects, by job. */
  private final Cache<String, JobSpec> rejectedSubmissions =
      CacheBuilder.newBuilder().maximumSize(MAX_REJECTED_SUBMISSIONS).build();

  private boolean inFlight;
  private long nextCommitMicros;
  private long nowMicros;
  private long wallMicros;

  RequestCommitter(
      StateStore stateStore,
      JobRegistry jobs,
      JobAnswers answers,
      TaskTracer tracer,
      JobRequestHandler.ClusterView cluster,
      OutdatedRequestListener outdatedRequests) {
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.answers = answers;
    this.tracer = tracer;
    this.cluster = cluster;
    this.outdatedRequests = outdatedRequests;
  }

  /** Queues a validated submission. */
  void submit(long request, JobSpec spec) {
    if (spec.equals(rejectedSubmissions.getIfPresent(spec.id()))) {
      answers.rejected(request, SubmissionErrors.notStorable());
    } else if (enqueue(new PendingRequest.Submission(request, spec, nowMicros))) {
      tracer.submitted(spec.id());
      flush();
    }
  }

  /** Queues the cancellation of an unfinished job. */
  void cancel(long request, String id) {
    if (enqueue(new PendingRequest.Cancellation(request, id, nowMicros))) {
      flush();
    }
  }

  private boolean enqueue(PendingRequest pending) {
    if (queue.size() >= MAX_QUEUED_REQUESTS) {
      answers.queueFull(pending.request());
      return false;
    }
    queue.add(pending);
    return true;
  }

  /** Refuses requests that have waited for too long, and commits waiting requests if possible. */
  void tick(long currentMicros, long currentWallMicros) {
    nowMicros = currentMicros;
    wallMicros = currentWallMicros;
    while (!queue.isEmpty() && currentMicros - queue.peek().sinceMicros() > MAX_WAIT_MICROS) {
      refuse(queue.poll(), "not committed in time");
    }
    flush();
  }

  private void flush() {
    if (!inFlight && queue.isEmpty()) {
      suspects.clear();
    }
    if (inFlight || queue.isEmpty() || nowMicros < nextCommitMicros || !stateStore.loaded()) {
      return;
    }
    List<PendingRequest> deferred = new ArrayList<>();
    RequestBatch batch = nextBatch(deferred);
    if (!batch.isEmpty()
        && stateStore.tryAcquireWrites(batch.requests().size(), RESERVED_WRITE_SHARE)) {
      inFlight = true;
      stateStore.commit(
          batch.preconditions(),
          batch.mutations(),
          outcome -> onCommitted(outcome, batch.requests()));
    } else {
      putBack(batch.requests());
    }
    queue.addAll(deferred);
  }

  /**
   * Takes as many requests from the queue as one transaction can hold. A second request about the
   * same job is deferred.
   */
  private RequestBatch nextBatch(List<PendingRequest> deferred) {
    // The batch is limited to the available tokens. Waiting for a full token bucket takes longer.
    int writes = Math.max(1, stateStore.availableWrites(RESERVED_WRITE_SHARE));
    RequestBatch batch =
        new RequestBatch(
            Math.min(stateStore.limits().maxOperations(), writes),
            stateStore.limits().maxTransactionBytes());
    while (!queue.isEmpty() && !batch.isFull()) {
      PendingRequest pending = queue.poll();
      boolean suspect = suspects.contains(pending.jobId());
      if (batch.changes(pending.jobId()) || (suspect && !batch.isEmpty())) {
        deferred.add(pending);
      } else if (pending instanceof PendingRequest.Submission submission) {
        addSubmission(submission, batch);
      } else if (pending instanceof PendingRequest.Cancellation cancellation) {
        addCancellation(cancellation, batch);
      }
      if (suspect && !batch.isEmpty()) {
        break;
      }
    }
    return batch;
  }

  private void addSubmission(PendingRequest.Submission submission, RequestBatch batch) {
    if (jobs.isKnown(submission.jobId())) {
      outdatedRequests.onAlreadyAccepted(submission);
      return;
    }
    JobSpec spec = submission.spec();
    Map<String, Object> record =
        JobRecordCodec.encodeAccepted(spec, cluster.homeShard(spec), wallMicros);
    batch.addSubmission(submission, record);
  }

  private void addCancellation(PendingRequest.Cancellation cancellation, RequestBatch batch) {
    Job job = jobs.unfinished(cancellation.jobId());
    if (job == null) {
      outdatedRequests.onNoUnfinishedJob(cancellation);
      return;
    }
    batch.addCancellation(cancellation, job);
  }

  /** Puts requests back at the head of the queue, in their order. */
  private void putBack(List<PendingRequest> requests) {
    for (int i = requests.size() - 1; i >= 0; i--) {
      queue.addFirst(requests.get(i));
    }
  }

  private void refuse(PendingRequest pending, String reason) {
    answers.retryLater(pending.request(), reason);
    tracer.refused(pending.jobId(), reason);
  }

  private void refuseAll(List<PendingRequest> requests, String reason) {
    for (PendingRequest pending : requests) {
      refuse(pending, reason);
    }
  }

  private void onCommitted(CommitOutcome outcome, List<PendingRequest> requests) {
    inFlight = false;
    switch (outcome.status()) {
      case COMMITTED -> answerCommitted(requests);
      case CONFLICT -> retryAfterConflict(outcome, requests);
      case UNKNOWN ->
          // The transaction may still be applied. A repeated request finds the job or commits it
          // again.
          refuseAll(requests, JobAnswers.STATE_SERVICE_UNREACHABLE);
      case REJECTED -> onRejected(requests);
      case THROTTLED -> {
        // Nothing was applied, and tokens will be available soon. Until then, tick refuses requests
        // that wait for too long.
        putBack(requests);
        nextCommitMicros = nowMicros + THROTTLED_DELAY_MICROS;
      }
      default -> {
        refuseAll(requests, "the state service is out of order");
        nextCommitMicros = nowMicros + FAILED_DELAY_MICROS;
      }
    }
  }

  /**
   * Handles a transaction that the state service refuses for good. Its requests are committed one
   * by one, so that a faulty one holds up no other. A submission that is refused alone can't be
   * stored.
   */
  private void onRejected(List<PendingRequest> requests) {
    nextCommitMicros = nowMicros + FAILED_DELAY_MICROS;
    if (requests.size() > 1) {
      requests.forEach(pending -> suspects.add(pending.jobId()));
      putBack(requests);
      return;
    }
    PendingRequest pending = requests.get(0);
    suspects.remove(pending.jobId());
    LOG.error("request rejected job={}", pending.jobId());
    if (pending instanceof PendingRequest.Submission submission) {
      rejectedSubmissions.put(submission.jobId(), submission.spec());
      answers.rejected(pending.request(), SubmissionErrors.notStorable());
    } else {
      refuse(pending, "the state service refuses the cancellation");
    }
  }

  private void answerCommitted(List<PendingRequest> requests) {
    requests.forEach(pending -> suspects.remove(pending.jobId()));
    announceCancellations(requests);
    for (PendingRequest pending : requests) {
      String id = pending.jobId();
      // A submitted job may be finished already, cancelled because of a dependency.
      if (pending instanceof PendingRequest.Submission submission) {
        logAccepted(submission.spec());
        tracer.accepted(id);
        answers.accepted(pending.request(), id, jobs.finished(id));
      } else {
        LOG.info("job cancelled job={}", id);
        answers.cancelled(pending.request(), id, jobs.finished(id));
      }
    }
  }

  private void announceCancellations(List<PendingRequest> requests) {
    List<String> cancelled =
        requests.stream()
            .filter(PendingRequest.Cancellation.class::isInstance)
            .map(PendingRequest::jobId)
            .toList();
    if (!cancelled.isEmpty()) {
      cluster.announceCancelled(cancelled);
    }
  }

  private static void logAccepted(JobSpec spec) {
    LOG.info(
        "job accepted job={} team={} class={} shape={} priority={} tasks={} dependencies={}",
        spec.id(),
        spec.team(),
        spec.jobClass(),
        spec.shape(),
        spec.priority(),
        spec.tasks(),
        spec.dependencies().size());
  }

  /**
   * Handles a conflict: a job exists already, or another controller has changed one. Each request
   * is checked anew once the cache has reached the revision of the conflict.
   */
  private void retryAfterConflict(CommitOutcome conflict, List<PendingRequest> requests) {
    stateStore.whenRevisionReached(
        conflict.revision(),
        () -> {
          requests.forEach(request -> retry(request, conflict));
          flush();
        },
        () -> refuseAll(requests, JobAnswers.STATE_SERVICE_UNREACHABLE));
  }

  private void retry(PendingRequest pending, CommitOutcome conflict) {
    String id = pending.jobId();
    List<String> conflictingKeys = conflict.conflictingKeys();
    boolean recordExists =
        conflictingKeys.contains(Job.key(id)) || conflictingKeys.contains(Job.archiveKey(id));
    if (recordExists
        && !jobs.isKnown(id)
        && pending instanceof PendingRequest.Submission submission) {
      outdatedRequests.onConflict(submission);
    } else {
      queue.add(pending);
    }
  }
}
