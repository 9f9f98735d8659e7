package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
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
 * Which tasks may be preempted for a job: those of lower priority, and what another team runs
 * beyond its own guarantee if that brings the job's team its guarantee.
 */
final class Preemption {
  private static final double MICROS_PER_SECOND = 1e6;

  /** What is lost with a task that isn't known to run yet. */
  private static final double NOT_RUNNING_LOSS_S = 0.5;

  /** Work done while a preempted task makes its last checkpoint, and is started again from it. */
  private static final double CHECKPOINT_OVERHEAD_S = 2;

  /** Any restart costs so much, however short the task ran. */
  private static final double RESTART_LOSS_S = 1;

  /** GPUs are counted in thousandths: a task with one GPU loses twice as much as one without. */
  private static final double GPU_UNIT = 1000.0;

  private final Policy policy;
  private final JobRegistry jobs;
  private final TeamGuarantees guarantees;
  private final Function<Job, JobSpec.Priority> inheritedPriority;

  /** What was found in this cycle on whether there is any victim for a request. */
  private final Map<PreemptionRequest, Boolean> hasVictims = new HashMap<>();

  /**
   * A running job is protected by its inherited priority, which may come from a job that depends on
   * it; it preempts others by its own priority alone.
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
   * Victims on one machine.
   *
   * @param victims the tasks to preempt; empty if the resources are being freed anyway
   * @param lossS what their preemption loses, in seconds of work
   */
  record Plan(List<Attempt> victims, double lossS) {
    /** Nothing needs to be preempted. */
    static final Plan NONE = new Plan(List.of(), 0);
  }

  /** A scheduling cycle begins: victims are searched anew. */
  void beginCycle() {
    hasVictims.clear();
  }

  /** What a job may preempt; {@code equalPriority} as in {@link PreemptionRequest}. */
  PreemptionRequest request(JobSpec spec, boolean equalPriority) {
    return new PreemptionRequest(
        spec.priority(), spec.team(), guarantees.isGuaranteed(spec.id()), equalPriority);
  }

  /**
   * Whether any task on the workers may be preempted. Most often there is none, and one search in
   * each cycle shows that for all jobs with an equal request.
   */
  boolean hasVictims(PreemptionRequest request, Collection<Worker> workers, long nowMicros) {
    return hasVictims.computeIfAbsent(request, key -> searchVictim(key, workers, nowMicros));
  }

  private boolean searchVictim(
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
        && lossS(attempt, nowMicros) <= policy.number(Policy.Name.YOUNG)
        && guarantees.isBeyondGuarantee(attempt.slice());
  }

  /** What the preemption of a task loses, in seconds of its machine's work. */
  private double lossS(Attempt attempt, long nowMicros) {
    if (attempt.runningSinceMicros() == 0) {
      return NOT_RUNNING_LOSS_S;
    }
    JobSpec spec = jobs.active(attempt.slice().job()).spec();
    double ranS = (nowMicros - attempt.runningSinceMicros()) / MICROS_PER_SECOND;
    double lostS =
        spec.checkpointIntervalMicros() > 0
            ? Math.min(ranS, CHECKPOINT_OVERHEAD_S + spec.checkpointMicros() / MICROS_PER_SECOND)
            : ranS;
    // A task that uses more of the machine loses more of its work.
    return (lostS + RESTART_LOSS_S) * (1 + attempt.slice().gpus() / GPU_UNIT);
  }

  /**
   * The victims with the least loss that make a machine fit for a task; null if there are none.
   *
   * @param alreadyChosen attempts that are victims for other tasks
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
    preemptible.sort(Comparator.comparingDouble(attempt -> lossS(attempt, nowMicros)));
    return cheapest(preemptible, new ResourceShortfall(machine, spec), nowMicros);
  }

  private Plan cheapest(List<Attempt> byLoss, ResourceShortfall shortfall, long nowMicros) {
    List<Attempt> victims = new ArrayList<>();
    double totalLossS = 0;
    for (Attempt attempt : byLoss) {
      if (shortfall.isCovered()) {
        break;
      }
      if (shortfall.isReducedBy(attempt.slice())) {
        victims.add(attempt);
        totalLossS += lossS(attempt, nowMicros);
        shortfall.reduceBy(attempt.slice());
      }
    }
    return shortfall.isCovered() ? new Plan(victims, totalLossS) : null;
  }

  /** The grace period of a victim in seconds: long enough for a checkpoint if it makes any. */
  double graceS(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    return job == null ? 0 : TerminationGrace.seconds(job.spec());
  }
}
