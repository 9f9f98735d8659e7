package gladeknot.scheduling;

import com.google.common.math.LongMath;
import gladeknot.settings.Settings;

/** Running sum of CPUs and GPUs, in billionths; it stays at the limits of a long. */
final class ResourceUsage {
  private long cpus;
  private long gpus;

  /** Adds the resources of a number of equal tasks; a negative number subtracts them. */
  void add(long taskCpus, long taskGpus, long tasks) {
    cpus = LongMath.saturatedAdd(cpus, LongMath.saturatedMultiply(taskCpus, tasks));
    gpus = LongMath.saturatedAdd(gpus, LongMath.saturatedMultiply(taskGpus, tasks));
  }

  /** Returns whether the sum is within a team's guarantee. GPUs count only if the job uses GPUs. */
  boolean isWithinGuarantee(Settings.Team team, boolean usesGpus) {
    return cpus <= team.cpus() && (!usesGpus || gpus <= team.gpus());
  }

  /** Returns whether the sum without one task of these resources still covers the guarantee. */
  boolean exceedsGuaranteeWithout(long taskCpus, long taskGpus, Settings.Team team) {
    return cpus - taskCpus >= team.cpus() && (taskGpus == 0 || gpus - taskGpus >= team.gpus());
  }
}
