package gladeknot.scheduling;

import gladeknot.settings.Settings;

/** A running sum of CPUs and GPUs, in thousandths. */
final class ResourceUsage {
  private long cpus;
  private long gpus;

  /** Adds so many tasks, each with these resources; a negative count subtracts them. */
  void add(long taskCpus, long taskGpus, long tasks) {
    cpus += taskCpus * tasks;
    gpus += taskGpus * tasks;
  }

  /** Whether the sum is within a team's guarantee; GPUs count only where a job uses some. */
  boolean isWithinGuarantee(Settings.Team team, boolean usesGpus) {
    return cpus <= team.cpus() && (!usesGpus || gpus <= team.gpus());
  }

  /** Whether a team keeps its guarantee without one task that has these resources. */
  boolean exceedsGuaranteeWithout(long taskCpus, long taskGpus, Settings.Team team) {
    return cpus - taskCpus >= team.cpus() && (taskGpus == 0 || gpus - taskGpus >= team.gpus());
  }
}
