package gladeknot.jobs;

import gladeknot.state.CommitOutcome;
import gladeknot.state.StateStore;
import gladeknot.tracing.TaskTracer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits submissions and cancellations, many in one transaction, and answers them.
 *
 * <p>One transaction is under way at a time; what comes meanwhile waits in the queue. A request
 * that waits for too long is refused and may be repeated.
 */
final class RequestCommitter {
  /** Takes back requests that the state of their job has overtaken while they waited. */
  interface OvertakenRequests {
    /** The job of a submission has been accepted meanwhile. */
    void onAlreadyAccepted(PendingRequest.Submission submission);

    /** The job of a cancellation is not, or no more, among the unfinished ones. */
    void onNotUnfinished(PendingRequest.Cancellation cancellation);
  }

  private static final Logger LOG = LoggerFactory.getLogger(RequestCommitter.class);
  private static final int MAX_QUEUE = 300;
  private static final long MAX_WAIT_MICROS = 2_500_000;

  /** Until the next try after the state store said that it is asked too often. */
  private static final long THROTTLED_MICROS = 60_000;

  /** Until the next try after the state store failed. */
  private static final long FAILED_MICROS = 100_000;

  /** The share of the write tokens that is kept for others: users' requests leave none. */
  private static final int RESERVED_WRITES = 0;

  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final JobAnswers answers;
  private final TaskTracer tracer;
  private final JobRequestHandler.ClusterView cluster;
  private final OvertakenRequests overtaken;
  private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
  private boolean inFlight;
  private long nextMicros;
  private long nowMicros;
  private long wallMicros;

  RequestCommitter(
      StateStore stateStore,
      JobRegistry jobs,
      JobAnswers answers,
      TaskTracer tracer,
      JobRequestHandler.ClusterView cluster,
      OvertakenRequests overtaken) {
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.answers = answers;
    this.tracer = tracer;
    this.cluster = cluster;
    this.overtaken = overtaken;
  }

  /** Queues a submission that was validated. */
  void submit(long request, JobSpec spec) {
    if (enqueue(new PendingRequest.Submission(request, spec, nowMicros))) {
      tracer.submitted(spec.id());
      flush();
    }
  }

  /** Queues the cancellation of a job that is not over. */
  void cancel(long request, String id) {
    if (enqueue(new PendingRequest.Cancellation(request, id, nowMicros))) {
      flush();
    }
  }

  private boolean enqueue(PendingRequest pending) {
    if (queue.size() >= MAX_QUEUE) {
      answers.queueFull(pending.request());
      return false;
    }
    queue.add(pending);
    return true;
  }

  /** Refuses what has waited for too long, and commits what can be. */
  void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    while (!queue.isEmpty() && now - queue.peek().sinceMicros() > MAX_WAIT_MICROS) {
      refuse(queue.poll(), "not committed in time");
    }
    flush();
  }

  private void flush() {
    if (inFlight || queue.isEmpty() || nowMicros < nextMicros || !stateStore.loaded()) {
      return;
    }
    List<PendingRequest> deferred = new ArrayList<>();
    RequestBatch batch = nextBatch(deferred);
    if (!batch.isEmpty() && stateStore.tryAcquireWrites(batch.requests().size(), RESERVED_WRITES)) {
      inFlight = true;
      stateStore.commit(
          batch.conditions(), batch.mutations(), outcome -> onCommitted(outcome, batch.requests()));
    } else {
      putBack(batch.requests());
    }
    queue.addAll(deferred);
  }

  /** Takes what one transaction can hold; a second request about a job in it is deferred. */
  private RequestBatch nextBatch(List<PendingRequest> deferred) {
    // The batch is limited to the tokens that there are: waiting for a full bucket takes longer.
    int writes = Math.max(1, stateStore.availableWrites(RESERVED_WRITES));
    RequestBatch batch =
        new RequestBatch(
            Math.min(stateStore.limits().maxOperations(), writes),
            stateStore.limits().maxTransactionBytes());
    while (!queue.isEmpty() && !batch.isFull()) {
      PendingRequest pending = queue.poll();
      if (batch.changes(pending.jobId())) {
        deferred.add(pending);
      } else if (pending instanceof PendingRequest.Submission submission) {
        addSubmission(submission, batch);
      } else if (pending instanceof PendingRequest.Cancellation cancellation) {
        addCancellation(cancellation, batch);
      }
    }
    return batch;
  }

  private void addSubmission(PendingRequest.Submission submission, RequestBatch batch) {
    if (jobs.isKnown(submission.jobId())) {
      overtaken.onAlreadyAccepted(submission);
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
      overtaken.onNotUnfinished(cancellation);
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
      case CONFLICT -> retryOnceCopyShows(outcome.revision(), requests);
      case UNKNOWN ->
          // The transaction may still be applied; a repeat finds the job or commits it again.
          refuseAll(requests, JobAnswers.STATE_STORE_UNREACHABLE);
      case THROTTLED -> {
        // Nothing was done, and tokens come soon: what waits too long is refused meanwhile.
        putBack(requests);
        nextMicros = nowMicros + THROTTLED_MICROS;
      }
      default -> {
        refuseAll(requests, "the state service is out of order");
        nextMicros = nowMicros + FAILED_MICROS;
      }
    }
  }

  private void answerCommitted(List<PendingRequest> requests) {
    announceCancellations(requests);
    for (PendingRequest pending : requests) {
      String id = pending.jobId();
      // A job may be over from the start, cancelled with one of its dependencies.
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

  /** Another controller has changed one of these jobs; each is judged again by a newer copy. */
  private void retryOnceCopyShows(long revision, List<PendingRequest> requests) {
    stateStore.whenRevisionReached(
        revision,
        () -> {
          queue.addAll(requests);
          flush();
        },
        () -> refuseAll(requests, JobAnswers.STATE_STORE_UNREACHABLE));
  }
}
