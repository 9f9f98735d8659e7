package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import java.util.Map;

/** Decides which machines a job's tasks may run on, whatever is free there. */
final class NodeFilter {
  private NodeFilter() {}

  /** Whether a job allows a machine by its type, zone and billing model. */
  static boolean satisfiesConstraints(JobSpec spec, CandidateMachine machine) {
    return spec.allowsMachine(machine.worker().type(), machine.zone(), machine.worker().spot());
  }

  /**
   * Whether a job's next task may run on a machine.
   *
   * @param zone the only zone to consider; null for all
   * @param tasksByZone how many of the job's tasks are in each zone already
   */
  static boolean accepts(
      JobSpec spec, CandidateMachine machine, String zone, Map<String, Integer> tasksByZone) {
    String machineZone = machine.zone();
    return satisfiesConstraints(spec, machine)
        && (zone == null || zone.equals(machineZone))
        && spec.allowsZone(machineZone, tasksByZone)
        && (spec.gpus() > 0 || machine.type().gpus() == 0 || !isService(spec));
  }

  /** Services run for long: without this rule they would block machines with GPUs. */
  private static boolean isService(JobSpec spec) {
    return spec.shape() == JobSpec.Shape.SERVICE;
  }
}
