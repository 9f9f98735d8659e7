package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.json.ResourceUnits;
import gladeknot.policy.Policy;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.TerminationGrace;
import gladeknot.workers.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Determines which tasks may be preempted for a job. These are the tasks of lower priority and, for
 * a job within the guarantee of its team, tasks that other teams run beyond their guarantees.
 */
final class Preemption {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Loss by preempting a task that is not known to run yet, in seconds. */
  private static final double NOT_RUNNING_LOSS_SECONDS = 0.5;

  /**
   * Machine time lost besides the checkpoint itself when a preempted task makes its last checkpoint
   * and is started again from it, in seconds.
   */
  private static final double CHECKPOINT_OVERHEAD_SECONDS = 2;

  /** Cost of a restart in seconds, even if the task has just started. */
  private static final double RESTART_LOSS_SECONDS = 1;

  private final Policy policy;
  private final JobRegistry jobs;
  private final TeamGuarantees guarantees;
  private final Function<Job, JobSpec.Priority> inheritedPriority;

  /** By request, whether any victim was found in this cycle. */
  private final Map<PreemptionRequest, Boolean> hasVictims = new HashMap<>();

  /**
   * Creates an instance without cached results.
   *
   * @param inheritedPriority returns the priority that protects a job's running tasks, which may
   *     come from a job that depends on it. When the job preempts others, only its own priority
   *     counts.
   */
  Preemption(
      Policy policy,
      JobRegistry jobs,
      TeamGuarantees guarantees,
      Function<Job, JobSpec.Priority> inheritedPriority) {
    this.policy = policy;
    this.jobs = jobs;
    this.guarantees = guarantees;
    this.inheritedPriority = inheritedPriority;
  }

  /**
   * Tasks to preempt on one machine.
   *
   * @param victims the tasks to preempt; empty if terminating tasks free enough resources
   * @param lossSeconds the total loss by their preemption, in seconds of machine time
   */
  record Plan(List<Attempt> victims, double lossSeconds) {
    /** A plan that preempts nothing. */
    static final Plan NONE = new Plan(List.of(), 0);
  }

  /** Begins a scheduling cycle: clears the cached results of the last one. */
  void beginCycle() {
    hasVictims.clear();
  }

  /** Returns the request of a job; {@code equalPriority} as in {@link PreemptionRequest}. */
  PreemptionRequest request(JobSpec spec, boolean equalPriority) {
    return new PreemptionRequest(
        spec.priority(), spec.team(), guarantees.isGuaranteed(spec.id()), equalPriority);
  }

  /**
   * Returns whether any task on the workers may be preempted. Usually there is no such task. The
   * result is cached, so that one search in each cycle serves all jobs with an equal request.
   */
  boolean hasVictims(PreemptionRequest request, Collection<Worker> workers, long nowMicros) {
    return hasVictims.computeIfAbsent(request, key -> findVictim(key, workers, nowMicros));
  }

  private boolean findVictim(
      PreemptionRequest request, Collection<Worker> workers, long nowMicros) {
    for (Worker worker : workers) {
      for (Attempt attempt : worker.attempts().values()) {
        if (isPreemptible(attempt, request, nowMicros)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean isPreemptible(Attempt attempt, PreemptionRequest request, long nowMicros) {
    Job job = jobs.active(attempt.slice().job());
    if (job == null || attempt.closed() || attempt.killRequested() || !attempt.committed()) {
      return false;
    }
    int priority = request.priority().ordinal();
    if (inheritedPriority.apply(job).ordinal() > priority) {
      return true;
    }
    return request.equalPriority()
        && !job.spec().team().equals(request.team())
        && job.spec().priority().ordinal() >= priority
        && request.guaranteed()
        && !guarantees.isGuaranteed(job.id())
        && lossSeconds(attempt, nowMicros) <= policy.number(Policy.Name.YOUNG)
        && guarantees.isBeyondGuarantee(attempt.slice());
  }

  /** Returns the loss by preempting a task, in seconds of machine time. */
  private double lossSeconds(Attempt attempt, long nowMicros) {
    if (attempt.runningSinceMicros() == 0) {
      return NOT_RUNNING_LOSS_SECONDS;
    }
    JobSpec spec = jobs.active(attempt.slice().job()).spec();
    double ranSeconds = (nowMicros - attempt.runningSinceMicros()) / MICROS_PER_SECOND;
    double lostSeconds =
        spec.checkpointIntervalMicros() > 0
            ? Math.min(
                ranSeconds,
                CHECKPOINT_OVERHEAD_SECONDS + spec.checkpointMicros() / MICROS_PER_SECOND)
            : ranSeconds;
    // A task with GPUs uses more of its machine, so more machine time is lost.
    return (lostSeconds + RESTART_LOSS_SECONDS)
        * (1 + ResourceUnits.toDouble(attempt.slice().gpus()));
  }

  /**
   * Returns a plan whose victims, chosen in ascending order of loss, free enough resources for a
   * task on a machine; null if no such plan exists.
   *
   * @param alreadyChosen attempts that are already victims for other tasks
   */
  Plan plan(
      CandidateMachine machine,
      JobSpec spec,
      PreemptionRequest request,
      Set<Attempt> alreadyChosen,
      long nowMicros) {
    List<Attempt> preemptible = new ArrayList<>();
    for (Attempt attempt : machine.worker().attempts().values()) {
      if (!alreadyChosen.contains(attempt) && isPreemptible(attempt, request, nowMicros)) {
        preemptible.add(attempt);
      }
    }
    if (preemptible.isEmpty()) {
      return machine.fitsAfterTermination(spec) ? Plan.NONE : null;
    }
    preemptible.sort(Comparator.comparingDouble(attempt -> lossSeconds(attempt, nowMicros)));
    return selectVictims(preemptible, new ResourceShortfall(machine, spec), nowMicros);
  }

  private Plan selectVictims(List<Attempt> byLoss, ResourceShortfall shortfall, long nowMicros) {
    List<Attempt> victims = new ArrayList<>();
    double totalLossSeconds = 0;
    for (Attempt attempt : byLoss) {
      if (shortfall.isCovered()) {
        break;
      }
      if (shortfall.isReducedBy(attempt.slice())) {
        victims.add(attempt);
        totalLossSeconds += lossSeconds(attempt, nowMicros);
        shortfall.reduceBy(attempt.slice());
      }
    }
    return shortfall.isCovered() ? new Plan(victims, totalLossSeconds) : null;
  }

  /**
   * Returns the grace period of a victim in seconds, which is long enough for a checkpoint if its
   * job makes checkpoints.
   */
  double gracePeriodSeconds(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    return job == null ? 0 : TerminationGrace.seconds(job.spec());
  }
}
