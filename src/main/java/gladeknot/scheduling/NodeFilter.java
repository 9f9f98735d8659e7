package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import java.util.Map;

/** Decides which machines a job's tasks may run on, regardless of their free resources. */
final class NodeFilter {
  private NodeFilter() {}

  /** Returns whether a job allows a machine's type, zone and billing model. */
  static boolean satisfiesConstraints(JobSpec spec, CandidateMachine machine) {
    return spec.allowsMachine(machine.worker().type(), machine.zone(), machine.worker().spot());
  }

  /**
   * Returns whether a job's next task may run on a machine.
   *
   * @param zone the only zone to consider; null for all
   * @param tasksByZone the number of the job's tasks that are already in each zone
   */
  static boolean accepts(
      JobSpec spec, CandidateMachine machine, String zone, Map<String, Integer> tasksByZone) {
    String machineZone = machine.zone();
    return satisfiesConstraints(spec, machine)
        && (zone == null || zone.equals(machineZone))
        && spec.allowsZone(machineZone, tasksByZone)
        && machine.type().mayRun(spec);
  }
}
