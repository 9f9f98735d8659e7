package gladeknot.lifecycle;

import gladeknot.commit.KeyMutation;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRecordCodec;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.TaskCounts;
import gladeknot.membership.Membership;
import gladeknot.state.Mutation;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the final states of jobs: completed, or cancelled together with a job that they depend
 * on.
 */
final class JobCompletion {
  private static final Logger LOG = LoggerFactory.getLogger(JobCompletion.class);

  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TransactionCommitter committer;

  /** Jobs whose final state is being committed. */
  private final Set<String> finishing = new HashSet<>();

  JobCompletion(
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TransactionCommitter committer) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.committer = committer;
  }

  /**
   * Finishes jobs whose tasks are all completed in committed records, and dependents of cancelled
   * jobs.
   */
  void check(long wallMicros) {
    for (Job job : List.copyOf(jobs.active())) {
      if (mayFinish(job) && committedDone(job).cardinality() >= job.tasks()) {
        finish(job, JobRecordCodec.encodeDone(job.tasks(), wallMicros), "job done job={}");
      }
    }
    for (Job job : jobs.cancelledByDependency()) {
      if (mayFinish(job)) {
        finish(
            job,
            JobRecordCodec.encodeCancelled(job.tasks()),
            "job cancelled job={} reason=dependency_cancelled");
      }
    }
  }

  /** Handles a job that is no longer active: its final state needs no further commit. */
  void onFinished(String job) {
    finishing.remove(job);
  }

  /** Returns a job's completed and running task counts, for display. */
  TaskCounts taskCounts(Job job) {
    int running = 0;
    for (Slice slice : slices.ofJob(job.id())) {
      running += slice.liveCount();
    }
    return new TaskCounts(committedDone(job).cardinality(), running);
  }

  private boolean mayFinish(Job job) {
    return membership.permits(ControlAction.COMMIT, job.home()) && !finishing.contains(job.id());
  }

  private void finish(Job job, Map<String, Object> finalRecord, String logLine) {
    finishing.add(job.id());
    String key = Job.key(job.id());
    committer.submit(
        new KeyMutation(
            job.home(),
            Mutation.put(key, finalRecord),
            Map.of(key, job.modRevision()),
            committed -> {
              finishing.remove(job.id());
              if (committed) {
                LOG.info(logLine, job.id());
              }
            }));
  }

  /**
   * Returns the tasks completed in committed records. A task listed by several slices counts once.
   */
  private BitSet committedDone(Job job) {
    BitSet done = new BitSet();
    slices.ofJob(job.id()).forEach(slice -> done.or(slice.committedDone()));
    return done;
  }
}
