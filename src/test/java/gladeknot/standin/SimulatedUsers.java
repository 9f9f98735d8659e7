package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

import gladeknot.outbox.Outbox;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Users of a simulation: they submit, cancel and poll jobs, and retry until they get an answer. */
final class SimulatedUsers {
  private static final long RETRY_INTERVAL_MICROS = 2 * MICROS_PER_SECOND;
  private static final int POLL_INTERVAL_SECONDS = 5;

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final SimulatedControllers controllers;
  private final ObservedJobs jobs;
  private final JobStatusChecker checker;
  private boolean polling;

  SimulatedUsers(
      SimulatedClock clock,
      SplittableRandom random,
      SimulatedControllers controllers,
      ObservedJobs jobs,
      JobStatusChecker checker) {
    this.clock = clock;
    this.random = random;
    this.controllers = controllers;
    this.jobs = jobs;
    this.checker = checker;
  }

  /** Makes users poll each job every few seconds from now on, each time at a running controller. */
  void startPolling() {
    polling = true;
  }

  boolean isPolling() {
    return polling;
  }

  /** Submits a job, and retries until it is accepted. */
  void submit(int node, Map<String, Object> submission) {
    submitOnce(node, submission, jobs.add(submission));
  }

  private void submitOnce(int node, Map<String, Object> submission, ObservedJob job) {
    controllers.request(
        node,
        "POST",
        "/work",
        submission,
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            job.accepted();
          }
        });
    clock.schedule(
        RETRY_INTERVAL_MICROS,
        () -> {
          if (!job.isAccepted()) {
            submitOnce(nextController(node), submission, job);
          }
        });
  }

  private int nextController(int node) {
    return (node + 1) % controllers.count();
  }

  /** Submits a job that must be rejected with a status, or with 503. */
  void submitInvalid(int node, Map<String, Object> submission, int expectedStatus) {
    controllers.request(
        node,
        "POST",
        "/work",
        submission,
        answer -> checker.checkRejection(submission, expectedStatus, answer.status()));
  }

  /** Cancels a job, and retries until the answer shows that the job is final. */
  void cancel(int node, String id) {
    ObservedJob job = jobs.get(id);
    jobs.dependencies().cancelRequested(id);
    controllers.request(
        node,
        "POST",
        "/work/" + id + "/abort",
        null,
        answer -> {
          if (answer.status() == 200) {
            checker.checkPhase(job, answer);
          }
        });
    clock.schedule(
        RETRY_INTERVAL_MICROS,
        () -> {
          if (!job.isFinal()) {
            cancel(nextController(node), id);
          }
        });
  }

  /** Polls a job at a controller and checks the answer. */
  void poll(int node, String id) {
    controllers.request(
        node, "GET", "/work/" + id, null, (Outbox.Answer answer) -> checker.checkPoll(id, answer));
  }

  /** Polls all jobs if a poll is due. */
  void pollIfDue() {
    if (!polling || clock.now() / MICROS_PER_SECOND % POLL_INTERVAL_SECONDS != 0) {
      return;
    }
    List<Integer> running = controllers.running();
    if (!running.isEmpty()) {
      jobs.ids().forEach(id -> poll(running.get(random.nextInt(running.size())), id));
    }
  }
}
