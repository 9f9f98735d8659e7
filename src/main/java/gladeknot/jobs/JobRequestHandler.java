package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.tracing.TaskTracer;
import java.io.IOException;
import java.util.List;

/**
 * Answers users' requests: submissions, polls and cancellations.
 *
 * <p>Submissions are idempotent: a repeated submission is answered like a poll of the job. Final
 * states are answered from the cache. Everything else is answered after a read barrier or a commit.
 */
public final class JobRequestHandler {
  /** The handler's view of the rest of the controller. */
  public interface ClusterView {
    /** Returns whether the machine types are known. */
    boolean typesKnown();

    /** Returns whether a task fits some allowed machine type. */
    boolean fitsSomeType(JobSpec spec);

    /** Returns the home shard of a new job. */
    int homeShard(JobSpec spec);

    /** Returns the numbers of completed and running tasks of an unfinished job. */
    TaskCounts taskCounts(Job job);

    /**
     * Returns the reason why only final states can be answered now; null if all requests can be
     * answered.
     */
    String refusal();

    /** Announces to the other controllers the jobs whose cancellation has just been committed. */
    void announceCancelled(List<String> ids);
  }

  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final ClusterView cluster;
  private final JobAnswers answers;
  private final SubmissionValidator validator;
  private final RequestCommitter committer;

  /** Creates a handler that answers through the outbox. */
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
            stateStore, jobs, answers, tracer, cluster, new OutdatedRequestHandler());
  }

  /** Answers requests whose job changed while they waited for their commit. */
  private final class OutdatedRequestHandler implements RequestCommitter.OutdatedRequestListener {
    @Override
    public void onAlreadyAccepted(PendingRequest.Submission submission) {
      poll(submission.request(), submission.jobId());
    }

    @Override
    public void onNoUnfinishedJob(PendingRequest.Cancellation cancellation) {
      cancel(cancellation.request(), cancellation.jobId());
    }
  }

  /** Refuses requests that have waited for too long, and commits waiting requests if possible. */
  public void tick(long nowMicros, long wallMicros) {
    committer.tick(nowMicros, wallMicros);
  }

  /** Handles a submission; the body is the submission as JSON. */
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
    handleOutcome(request, validator.validate(spec));
  }

  private void handleOutcome(long request, SubmissionOutcome outcome) {
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
      afterReadBarrier(request, () -> handleOutcome(request, validator.validateDependencies(spec)));
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
    // A held job has no slices, so both counts are 0.
    TaskCounts counts = cluster.taskCounts(job);
    answers.state(request, id, counts.done(), counts.running());
  }

  /**
   * Answers a poll of a finished job, whose state never changes again. Returns whether the job is
   * finished.
   */
  private boolean answerIfFinished(long request, String id) {
    Job job = jobs.finished(id);
    if (job != null) {
      answers.finalState(request, job);
    }
    return job != null;
  }

  /** Cancels a job. A finished job stays as it is, and the answer is its final phase. */
  public void cancel(long request, String id) {
    if (answerFinalPhaseIfFinished(request, id) || refuseWhileStale(request)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      committer.cancel(request, id);
      return;
    }
    afterReadBarrier(request, () -> cancelIfKnown(request, id));
  }

  private void cancelIfKnown(long request, String id) {
    if (answerFinalPhaseIfFinished(request, id)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      committer.cancel(request, id);
    } else {
      answers.noSuchJob(request);
    }
  }

  private boolean answerFinalPhaseIfFinished(long request, String id) {
    Job job = jobs.finished(id);
    if (job != null) {
      answers.finalPhase(request, job);
    }
    return job != null;
  }

  /**
   * Refuses a request at once while the cache can't be brought up to date. Returns whether the
   * request was refused.
   */
  private boolean refuseWhileStale(long request) {
    String reason = stateStore.loaded() ? cluster.refusal() : "the state is not read yet";
    if (reason != null) {
      answers.retryLater(request, reason);
    }
    return reason != null;
  }

  private void afterReadBarrier(long request, Runnable whenFresh) {
    stateStore.readBarrier(
        whenFresh, () -> answers.retryLater(request, JobAnswers.STATE_SERVICE_UNREACHABLE));
  }
}
