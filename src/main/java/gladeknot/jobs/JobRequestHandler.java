package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.tracing.TaskTracer;
import java.io.IOException;
import java.util.List;

/**
 * Answers the users' requests: submissions, polls and cancellations.
 *
 * <p>Submissions are idempotent: a repeated one is answered as a poll of the job. What is final is
 * answered from the local copy; everything else is answered after a read barrier or a commit.
 */
public final class JobRequestHandler {
  /** What the handler has to know of the rest of the controller. */
  public interface ClusterView {
    /** Whether the machine types are known. */
    boolean typesKnown();

    /** Whether a task fits some allowed machine type. */
    boolean fitsSomeType(JobSpec spec);

    /** The shard that takes in a new job. */
    int homeShard(JobSpec spec);

    /** Done and running tasks of a job that is not over. */
    TaskCounts taskCounts(Job job);

    /** Why answers that are not final can't be given now; null if they can. */
    String refusal();

    /** Announces jobs whose cancellation has just been committed to the other controllers. */
    void announceCancelled(List<String> ids);
  }

  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final ClusterView cluster;
  private final JobAnswers answers;
  private final SubmissionValidator validator;
  private final RequestCommitter committer;

  /** A handler that answers through the outbox. */
  public JobRequestHandler(
      Settings settings,
      StateStore stateStore,
      JobRegistry jobs,
      Outbox outbox,
      TaskTracer tracer,
      ClusterView cluster) {
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.cluster = cluster;
    this.answers = new JobAnswers(outbox);
    this.validator = new SubmissionValidator(settings, stateStore, jobs, cluster);
    this.committer =
        new RequestCommitter(
            stateStore, jobs, answers, tracer, cluster, new OvertakenRequestHandler());
  }

  /** Answers requests again that were overtaken while they waited for their commit. */
  private final class OvertakenRequestHandler implements RequestCommitter.OvertakenRequests {
    @Override
    public void onAlreadyAccepted(PendingRequest.Submission submission) {
      poll(submission.request(), submission.jobId());
    }

    @Override
    public void onNotUnfinished(PendingRequest.Cancellation cancellation) {
      cancel(cancellation.request(), cancellation.jobId());
    }
  }

  /** Refuses what has waited for too long, and commits what can be. */
  public void tick(long nowMicros, long wallMicros) {
    committer.tick(nowMicros, wallMicros);
  }

  /** Takes in a submission; the body is the submission as JSON. */
  public void submit(long request, byte[] body) {
    JobSpec spec;
    try {
      spec = JobSpecCodec.decode(Json.object(body));
    } catch (IOException e) {
      answers.rejected(request, SubmissionErrors.notAnObject());
      return;
    } catch (MalformedJobException e) {
      answers.rejected(request, SubmissionErrors.malformed(e));
      return;
    }
    if (refuseWhileStale(request)) {
      return;
    }
    proceed(request, validator.validate(spec));
  }

  private void proceed(long request, SubmissionOutcome outcome) {
    if (outcome instanceof SubmissionOutcome.Accepted accepted) {
      committer.submit(request, accepted.spec());
    } else if (outcome instanceof SubmissionOutcome.AlreadyAccepted alreadyAccepted) {
      poll(request, alreadyAccepted.id());
    } else if (outcome instanceof SubmissionOutcome.Rejected rejected) {
      answers.rejected(request, rejected);
    } else if (outcome instanceof SubmissionOutcome.RetryLater retryLater) {
      answers.retryLater(request, retryLater.reason());
    } else if (outcome instanceof SubmissionOutcome.NeedsReadBarrier needsBarrier) {
      JobSpec spec = needsBarrier.spec();
      afterReadBarrier(request, () -> proceed(request, validator.validateDependencies(spec)));
    }
  }

  /** Answers with the state of a job. */
  public void poll(long request, String id) {
    if (answerIfFinished(request, id) || refuseWhileStale(request)) {
      return;
    }
    afterReadBarrier(request, () -> answerState(request, id));
  }

  private void answerState(long request, String id) {
    if (answerIfFinished(request, id)) {
      return;
    }
    Job job = jobs.unfinished(id);
    if (job == null) {
      answers.noSuchJob(request);
      return;
    }
    // A held job has no slices, and so none of its tasks is counted.
    TaskCounts counts = cluster.taskCounts(job);
    answers.state(request, id, counts.done(), counts.running());
  }

  /** Answers a poll of a job that is over: that never changes again. */
  private boolean answerIfFinished(long request, String id) {
    Job job = jobs.finished(id);
    if (job != null) {
      answers.finalState(request, job);
    }
    return job != null;
  }

  /** Cancels a job; one that is over stays as it is, and its final phase is answered. */
  public void cancel(long request, String id) {
    if (answerIfNothingToCancel(request, id) || refuseWhileStale(request)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      committer.cancel(request, id);
      return;
    }
    afterReadBarrier(request, () -> cancelIfKnown(request, id));
  }

  private void cancelIfKnown(long request, String id) {
    if (answerIfNothingToCancel(request, id)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      committer.cancel(request, id);
    } else {
      answers.noSuchJob(request);
    }
  }

  private boolean answerIfNothingToCancel(long request, String id) {
    Job job = jobs.finished(id);
    if (job != null) {
      answers.finalPhase(request, job);
    }
    return job != null;
  }

  /** Refuses a request at once while the copy can't be made new enough; returns whether it did. */
  private boolean refuseWhileStale(long request) {
    String reason = stateStore.loaded() ? cluster.refusal() : "the state is not read yet";
    if (reason != null) {
      answers.retryLater(request, reason);
    }
    return reason != null;
  }

  private void afterReadBarrier(long request, Runnable whenFresh) {
    stateStore.readBarrier(
        whenFresh, () -> answers.retryLater(request, JobAnswers.STATE_STORE_UNREACHABLE));
  }
}
