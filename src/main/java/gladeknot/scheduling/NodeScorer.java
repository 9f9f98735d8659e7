package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.settings.Settings;
import java.util.Set;

/**
 * Scores machines for a job's next task; the lowest score is the best. A score is the time until
 * the task runs, in seconds, plus penalties that are expressed in seconds too.
 */
final class NodeScorer {
  /** Penalty for machines with GPUs, which are rare, if the job does not use GPUs. */
  private static final double UNUSED_GPUS_PENALTY_SECONDS = 30;

  /** Penalty for on-demand machines if the job allows spot: other jobs can't use spot machines. */
  private static final double ON_DEMAND_PENALTY_SECONDS = 2;

  /**
   * Penalty for services on machines in a zone without a controller: when the zone is partitioned,
   * its workers lose their leases.
   */
  private static final double NO_CONTROLLER_PENALTY_SECONDS = 2;

  /**
   * Penalty for surplus machines, which are meant to drain and be released. A short image fetch on
   * another machine is better.
   */
  private static final double SURPLUS_PENALTY_SECONDS = 8;

  /**
   * Weight of the time until the worker's next heartbeat, whose answer carries the start command,
   * for tasks of high priority and above.
   */
  private static final double URGENT_HEARTBEAT_DELAY_WEIGHT = 1;

  /**
   * Weight of the time until the worker's next heartbeat for tasks below high priority. For these,
   * a fuller machine matters more than an early start.
   */
  private static final double HEARTBEAT_DELAY_WEIGHT = 0.2;

  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;

  /**
   * Zones that have a controller. They are kept here because the settings compute them on each call
   * and the scorer needs them for each machine.
   */
  private final Set<String> controllerZones;

  NodeScorer(Settings settings) {
    this.settings = settings;
    this.controllerZones = settings.controllerZones();
  }

  /**
   * Returns the score of a machine for a job's next task.
   *
   * @param tasksInZone the number of the job's tasks that are already in the machine's zone
   */
  double score(JobSpec spec, CandidateMachine machine, int tasksInZone, long nowMicros) {
    // The order of these terms affects the result: floating-point addition is not associative.
    return fetchSeconds(spec, machine)
        + (spec.gpus() == 0 && machine.type().gpus() > 0 ? UNUSED_GPUS_PENALTY_SECONDS : 0)
        + (spec.spotAllowed() && !machine.worker().spot() ? ON_DEMAND_PENALTY_SECONDS : 0)
        + (spec.spread() ? tasksInZone : 0)
        + machine.freeCpuFraction()
        + zonePenalty(spec, machine)
        + (machine.worker().surplus() ? SURPLUS_PENALTY_SECONDS : 0)
        + heartbeatDelayCost(spec, machine, nowMicros);
  }

  private static double fetchSeconds(JobSpec spec, CandidateMachine machine) {
    return machine.worker().hasImage(spec.image())
        ? 0
        : spec.imageGb() / machine.type().fetchGbPerSecond();
  }

  private double zonePenalty(JobSpec spec, CandidateMachine machine) {
    boolean serviceWithoutController =
        spec.shape() == JobSpec.Shape.SERVICE && !controllerZones.contains(machine.zone());
    return serviceWithoutController ? NO_CONTROLLER_PENALTY_SECONDS : 0;
  }

  private double heartbeatDelayCost(JobSpec spec, CandidateMachine machine, long nowMicros) {
    long nextAnswerAtMicros =
        machine.worker().nextAnswerMicros(settings.workers().heartbeatMicros());
    double delaySeconds = Math.max(0, nextAnswerAtMicros - nowMicros) / MICROS_PER_SECOND;
    boolean urgent = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
    return (urgent ? URGENT_HEARTBEAT_DELAY_WEIGHT : HEARTBEAT_DELAY_WEIGHT) * delaySeconds;
  }
}
