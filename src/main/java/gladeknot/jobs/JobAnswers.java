package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.Map;

/**
 * Sends the answers to users' requests, with HTTP status, the protocol's terms and retry delays.
 */
final class JobAnswers {
  static final String STATE_SERVICE_UNREACHABLE = "the state service does not answer";

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private static final int RETRY_AFTER_SECONDS = 1;
  private static final int RETRY_AFTER_QUEUE_FULL_SECONDS = 3;

  private static final String ID = "id";
  private static final String PHASE = "phase";
  private static final String DONE = "done";
  private static final String RUNNING = "running";
  private static final String ERROR = "error";

  private static final String PHASE_QUEUED = "queued";
  private static final String PHASE_RUNNING = "running";
  private static final String PHASE_DONE = "done";
  private static final String PHASE_CANCELLED = "withdrawn";

  private final Outbox outbox;

  JobAnswers(Outbox outbox) {
    this.outbox = outbox;
  }

  /**
   * Answers a committed submission. {@code finished} is the job if it is finished already, else
   * null.
   */
  void accepted(long request, String id, Job finished) {
    outbox.answer(request, CREATED, Json.of(ID, id, PHASE, phaseAfterCommit(finished)));
  }

  /**
   * Answers a committed cancellation. {@code finished} is the cancelled job; null if the cache does
   * not show the cancellation yet.
   */
  void cancelled(long request, String id, Job finished) {
    outbox.answer(request, OK, Json.of(ID, id, PHASE, phaseAfterCommit(finished)));
  }

  private static String phaseAfterCommit(Job finished) {
    return finished == null ? PHASE_QUEUED : finalPhase(finished);
  }

  /** Answers with the final phase of a finished job. */
  void finalPhase(long request, Job finished) {
    outbox.answer(request, OK, Json.of(ID, finished.id(), PHASE, finalPhase(finished)));
  }

  /** Answers with the final phase of a finished job and the number of its completed tasks. */
  void finalState(long request, Job finished) {
    Map<String, Object> answer = Json.of(ID, finished.id(), PHASE, finalPhase(finished));
    answer.put(DONE, finished.phase() == Job.Phase.DONE ? finished.tasks() : 0);
    answer.put(RUNNING, 0);
    outbox.answer(request, OK, answer);
  }

  /** Answers with the state of an unfinished job, which is queued while none of its tasks runs. */
  void state(long request, String id, int doneTasks, int runningTasks) {
    String phase = runningTasks > 0 ? PHASE_RUNNING : PHASE_QUEUED;
    outbox.answer(
        request, OK, Json.of(ID, id, PHASE, phase, DONE, doneTasks, RUNNING, runningTasks));
  }

  private static String finalPhase(Job finished) {
    return finished.phase() == Job.Phase.DONE ? PHASE_DONE : PHASE_CANCELLED;
  }

  /** Answers that there is no job with the requested id. */
  void noSuchJob(long request) {
    error(request, NOT_FOUND, "no such job");
  }

  /** Rejects a submission permanently. */
  void rejected(long request, SubmissionOutcome.Rejected rejected) {
    int status =
        switch (rejected.cause()) {
          case MALFORMED -> BAD_REQUEST;
          case UNSATISFIABLE -> UNPROCESSABLE;
        };
    error(request, status, rejected.reason());
  }

  /** Answers that the request can't be handled now and should be repeated soon. */
  void retryLater(long request, String reason) {
    outbox.retryLater(request, UNAVAILABLE, reason, RETRY_AFTER_SECONDS);
  }

  /**
   * Answers that too many requests wait for a commit and that this request should be repeated
   * later.
   */
  void queueFull(long request) {
    outbox.retryLater(
        request,
        TOO_MANY_REQUESTS,
        "too many requests are waiting",
        RETRY_AFTER_QUEUE_FULL_SECONDS);
  }

  private void error(long request, int status, String reason) {
    outbox.answer(request, status, Json.of(ERROR, reason));
  }
}
