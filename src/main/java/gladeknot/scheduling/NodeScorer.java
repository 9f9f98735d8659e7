package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.settings.Settings;
import java.util.Set;

/**
 * Scores machines for a job's next task; the lowest score is the best. The unit is seconds until
 * the task runs; all else is weighed against that.
 */
final class NodeScorer {
  /** Machines with GPUs are rare: a job without use for them avoids them. */
  private static final double IDLE_GPUS_PENALTY = 30;

  /** A job that accepts spot machines leaves the others to those that don't. */
  private static final double ON_DEMAND_PENALTY = 2;

  /** A zone without a controller loses its workers' leases when it is partitioned. */
  private static final double NO_CONTROLLER_PENALTY = 2;

  /** A surplus machine is to drain and be released; a short image fetch is the better choice. */
  private static final double SURPLUS_PENALTY = 8;

  /** Weighs the time until the worker's next heartbeat, with which a start command goes out. */
  private static final double URGENT_HEARTBEAT_WEIGHT = 1;

  /** The same for priorities below high, which rather get the fuller machine. */
  private static final double HEARTBEAT_WEIGHT = 0.2;

  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;

  /** Kept here, since the settings compute it and the scorer needs it for each machine. */
  private final Set<String> controllerZones;

  NodeScorer(Settings settings) {
    this.settings = settings;
    this.controllerZones = settings.controllerZones();
  }

  /**
   * The score of a machine for a job's next task.
   *
   * @param tasksInZone how many of the job's tasks are in the machine's zone already
   */
  double score(JobSpec spec, CandidateMachine machine, int tasksInZone, long nowMicros) {
    // The order of these sums is part of the result: floating-point addition isn't associative.
    return fetchS(spec, machine)
        + (spec.gpus() == 0 && machine.type().gpus() > 0 ? IDLE_GPUS_PENALTY : 0)
        + (spec.spotAllowed() && !machine.worker().spot() ? ON_DEMAND_PENALTY : 0)
        + (spec.spread() ? tasksInZone : 0)
        + machine.freeCpuFraction()
        + zonePenalty(spec, machine)
        + (machine.worker().surplus() ? SURPLUS_PENALTY : 0)
        + heartbeatCost(spec, machine, nowMicros);
  }

  private static double fetchS(JobSpec spec, CandidateMachine machine) {
    return machine.worker().hasImage(spec.image())
        ? 0
        : spec.imageGb() / machine.type().fetchGbPerS();
  }

  private double zonePenalty(JobSpec spec, CandidateMachine machine) {
    boolean exposed =
        spec.shape() == JobSpec.Shape.SERVICE && !controllerZones.contains(machine.zone());
    return exposed ? NO_CONTROLLER_PENALTY : 0;
  }

  private double heartbeatCost(JobSpec spec, CandidateMachine machine, long nowMicros) {
    long next = machine.worker().nextAnswerMicros(settings.workers().heartbeatMicros());
    double seconds = Math.max(0, next - nowMicros) / MICROS_PER_SECOND;
    boolean urgent = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
    return (urgent ? URGENT_HEARTBEAT_WEIGHT : HEARTBEAT_WEIGHT) * seconds;
  }
}
