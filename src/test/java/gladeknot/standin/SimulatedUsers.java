package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import gladeknot.outbox.Outbox;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Users of a simulation: they submit, cancel and poll jobs, over and over until answered. */
final class SimulatedUsers {
  private static final long RETRY_MICROS = 2 * SECOND;
  private static final int POLL_SECONDS = 5;

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

  /** From now on users poll each job every few seconds, at a controller that is running. */
  void startPolling() {
    polling = true;
  }

  boolean isPolling() {
    return polling;
  }

  /** Submits a job over and over until it is accepted. */
  void submit(int node, Map<String, Object> submission) {
    trySubmit(node, submission, jobs.add(submission));
  }

  private void trySubmit(int node, Map<String, Object> submission, ObservedJob job) {
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
        RETRY_MICROS,
        () -> {
          if (!job.isAccepted()) {
            trySubmit(next(node), submission, job);
          }
        });
  }

  private int next(int node) {
    return (node + 1) % controllers.count();
  }

  /** A submission that must be rejected with a status, or with 503. */
  void submitInvalid(int node, Map<String, Object> submission, int expectedStatus) {
    controllers.request(
        node,
        "POST",
        "/work",
        submission,
        answer -> checker.rejection(submission, expectedStatus, answer.status()));
  }

  /** Cancels a job, over and over until that is answered. */
  void cancel(int node, String id) {
    ObservedJob job = jobs.get(id);
    jobs.pipelines().cancelRequested(id);
    controllers.request(
        node,
        "POST",
        "/work/" + id + "/abort",
        null,
        answer -> {
          if (answer.status() == 200) {
            checker.answered(job, answer);
          }
        });
    clock.schedule(
        RETRY_MICROS,
        () -> {
          if (!job.isFinal()) {
            cancel(next(node), id);
          }
        });
  }

  /** Asks a controller about a job and checks the answer. */
  void poll(int node, String id) {
    controllers.request(
        node, "GET", "/work/" + id, null, (Outbox.Answer answer) -> checker.polled(id, answer));
  }

  /** Polls all jobs if it is time to. */
  void pollIfDue() {
    if (!polling || clock.now() / SECOND % POLL_SECONDS != 0) {
      return;
    }
    List<Integer> running = controllers.running();
    if (!running.isEmpty()) {
      jobs.ids().forEach(id -> poll(running.get(random.nextInt(running.size())), id));
    }
  }
}
