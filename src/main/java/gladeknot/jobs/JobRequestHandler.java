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
 * states that the registry knows are answered at once. Jobs that it does not know are read from the
 * state service. Everything else is answered after a read barrier or a commit.
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
  private final JobLookup lookup;
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
    this.lookup = new JobLookup(stateStore, jobs);
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
    public void onConflict(PendingRequest.Submission submission) {
      long request = submission.request();
      String id = submission.jobId();
      lookUp(
          request, id, () -> poll(request, id), () -> committer.submit(request, submission.spec()));
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
    handleOutcome(request, spec, validator.validate(spec));
  }

  private void handleOutcome(long request, JobSpec spec, SubmissionOutcome outcome) {
    if (outcome instanceof SubmissionOutcome.Accepted) {
      committer.submit(request, spec);
    } else if (outcome instanceof SubmissionOutcome.AlreadyAccepted) {
      poll(request, spec.id());
    } else if (outcome instanceof SubmissionOutcome.Rejected rejected) {
      rejectIfUnknown(request, spec, rejected);
    } else if (outcome instanceof SubmissionOutcome.RetryLater retryLater) {
      answers.retryLater(request, retryLater.reason());
    } else if (outcome instanceof SubmissionOutcome.NeedsLookup needsLookup) {
      lookUpDependency(request, spec, needsLookup.dependency());
    }
  }

  /** Rejects a submission, unless it repeats one that was accepted. */
  private void rejectIfUnknown(long request, JobSpec spec, SubmissionOutcome.Rejected rejected) {
    lookUp(
        request,
        spec.id(),
        () -> poll(request, spec.id()),
        () -> answers.rejected(request, rejected));
  }

  private void lookUpDependency(long request, JobSpec spec, String dependency) {
    lookUp(
        request,
        dependency,
        () -> handleOutcome(request, spec, validator.validate(spec)),
        () -> rejectIfUnknown(request, spec, SubmissionErrors.unknownDependency(dependency)));
  }

  /** Answers with the state of a job. */
  public void poll(long request, String id) {
    if (answerIfFinished(request, id) || refuseWhileStale(request)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      afterReadBarrier(request, () -> answerState(request, id));
    } else {
      lookUp(request, id, () -> poll(request, id), () -> answers.noSuchJob(request));
    }
  }

  private void answerState(long request, String id) {
    Job job = jobs.unfinished(id);
    if (job == null) {
      poll(request, id);
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
    } else {
      lookUp(request, id, () -> cancel(request, id), () -> answers.noSuchJob(request));
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
    stateStore.readBarrier(whenFresh, () -> stateServiceUnreachable(request));
  }

  /**
   * Looks up a job that the registry does not know. Runs {@code whenKnown} once the registry knows
   * the job, or {@code whenUnknown} if no such job was accepted.
   */
  private void lookUp(long request, String id, Runnable whenKnown, Runnable whenUnknown) {
    lookup.lookUp(
        id,
        result -> {
          if (result instanceof JobLookup.Result.Finished) {
            whenKnown.run();
          } else if (result instanceof JobLookup.Result.Unfinished unfinished) {
            stateStore.whenRevisionReached(
                unfinished.revision(), whenKnown, () -> stateServiceUnreachable(request));
          } else if (result instanceof JobLookup.Result.Unknown) {
            // The job may have been accepted since it was looked up.
            (jobs.isKnown(id) ? whenKnown : whenUnknown).run();
          } else {
            stateServiceUnreachable(request);
          }
        });
  }

  private void stateServiceUnreachable(long request) {
    answers.retryLater(request, JobAnswers.STATE_SERVICE_UNREACHABLE);
  }
}
