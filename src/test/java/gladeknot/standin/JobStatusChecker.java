package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;

/**
 * Checks the answers that users get about their jobs, and records the phase that was answered last.
 */
final class JobStatusChecker {
  private final SimulatedClock clock;
  private final ObservedJobs jobs;
  private final Violations violations;

  JobStatusChecker(SimulatedClock clock, ObservedJobs jobs, Violations violations) {
    this.clock = clock;
    this.jobs = jobs;
    this.violations = violations;
  }

  /** Checks the answer to a submission that must be rejected. */
  void checkRejection(Map<String, Object> submission, int expectedStatus, int status) {
    if (status < 300) {
      violations.add("accepted: " + submission);
    } else if (status != expectedStatus && status != 503) {
      violations.add("refused with " + status + " for " + expectedStatus + ": " + submission);
    }
  }

  /** Checks the answer to a poll of a job that may never have been submitted. */
  void checkPoll(String id, Outbox.Answer answer) {
    Optional<ObservedJob> job = jobs.find(id);
    if (answer.status() == 200 && job.isPresent()) {
      job.get().pollAnswered(clock.now());
      checkPhase(job.get(), answer);
    } else if (answer.status() == 200) {
      violations.add("invented: " + id);
    } else if (answer.status() == 404 && job.isPresent() && job.get().isAccepted()) {
      violations.add("forgotten: " + id);
    }
  }

  /** Checks an answer that holds a job's phase. */
  void checkPhase(ObservedJob job, Outbox.Answer answer) {
    try {
      checkPhaseChange(job, Json.text(Json.object(answer.body()), "phase"));
    } catch (IOException e) {
      violations.add("an answer to a user is no JSON object");
    }
  }

  private void checkPhaseChange(ObservedJob job, String phase) {
    String id = job.id();
    if (job.isFinal() && !phase.equals(job.phase())) {
      violations.add("went_back: " + id + " " + job.phase() + " then " + phase);
    }
    if (phase.equals("done") && !job.allTasksDone()) {
      violations.add("not_done: " + id + " with " + job.doneTasks() + " of " + job.tasks());
    }
    if (phase.equals("withdrawn")) {
      job.cancellationConfirmed(clock.now());
      jobs.dependencies().cancelConfirmed(id, clock.now());
      if (!jobs.dependencies().mayBeCancelled(id)) {
        violations.add("went_back: nobody cancelled " + id);
      }
    }
    if ((phase.equals("queued") || phase.equals("running"))
        && jobs.dependencies()
            .cancellationOverdue(id, clock.now(), ClusterSettings.CANCEL_MICROS)) {
      violations.add("orphaned: " + id);
    }
    job.phaseAnswered(phase);
  }
}
