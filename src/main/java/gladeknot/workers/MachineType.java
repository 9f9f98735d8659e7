package gladeknot.workers;

import gladeknot.jobs.JobSpec;
import java.util.List;
import java.util.Set;

/**
 * A machine type that the cloud offers.
 *
 * @param name the type's name
 * @param cpus CPUs of a machine, in billionths
 * @param gpus GPUs of a machine, in billionths
 * @param memory memory of a machine, in billionths of a GB
 * @param cacheGb size of the image cache, in GB
 * @param fetchGbPerSecond rate at which images are fetched, in GB per second
 * @param price price of an on-demand instance per hour
 * @param spotPrice price of a spot instance per hour
 * @param bootMicros time that an instance takes to boot, in microseconds
 * @param zones zones that offer the type
 * @param typesWithoutGpus for a type with GPUs, the cloud's types without; otherwise empty
 * @param refusedSizes sizes of tasks that machines of this type have refused lately although they
 *     should fit
 */
public record MachineType(
    String name,
    long cpus,
    long gpus,
    long memory,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    long bootMicros,
    List<String> zones,
    List<MachineType> typesWithoutGpus,
    Set<TaskSize> refusedSizes) {
  /** Creates a type of a cloud whose types all have GPUs, or a type without GPUs. */
  public MachineType(
      String name,
      long cpus,
      long gpus,
      long memory,
      double cacheGb,
      double fetchGbPerSecond,
      double price,
      double spotPrice,
      long bootMicros,
      List<String> zones) {
    this(
        name,
        cpus,
        gpus,
        memory,
        cacheGb,
        fetchGbPerSecond,
        price,
        spotPrice,
        bootMicros,
        zones,
        List.of(),
        Set.of());
  }

  /** Returns this type in a cloud that also offers the given types without GPUs. */
  public MachineType beside(List<MachineType> withoutGpus) {
    return new MachineType(
        name,
        cpus,
        gpus,
        memory,
        cacheGb,
        fetchGbPerSecond,
        price,
        spotPrice,
        bootMicros,
        zones,
        gpus > 0 ? withoutGpus : List.of(),
        refusedSizes);
  }

  /** Returns this type with the sizes of tasks that its machines have refused lately. */
  public MachineType refusing(Set<TaskSize> sizes) {
    return new MachineType(
        name,
        cpus,
        gpus,
        memory,
        cacheGb,
        fetchGbPerSecond,
        price,
        spotPrice,
        bootMicros,
        zones,
        typesWithoutGpus,
        Set.copyOf(sizes));
  }

  /**
   * Returns whether tasks of a job may run on machines of this type: the job allows the type, a
   * task fits an empty machine and was not refused lately, and a service without GPUs does not
   * block a machine with GPUs for long if it can run on another type. Forecast, scale-out and
   * placement all decide by this.
   */
  public boolean mayRun(JobSpec spec) {
    return allows(spec) && !refuses(spec) && !(blocksGpus(spec) && canRunWithoutGpus(spec));
  }

  /**
   * Returns whether the job allows the type and a task fits an empty machine. Unlike {@link
   * #mayRun}, this does not change while the type stays as the cloud lists it.
   */
  public boolean allows(JobSpec spec) {
    return fits(spec) > 0 && (spec.machineTypes() == null || spec.machineTypes().contains(name));
  }

  private boolean refuses(JobSpec spec) {
    return !refusedSizes.isEmpty() && refusedSizes.contains(TaskSize.of(spec));
  }

  private boolean blocksGpus(JobSpec spec) {
    return gpus > 0 && spec.gpus() == 0 && spec.shape() == JobSpec.Shape.SERVICE;
  }

  private boolean canRunWithoutGpus(JobSpec spec) {
    return typesWithoutGpus.stream()
        .anyMatch(
            type ->
                type.allows(spec)
                    && !type.refuses(spec)
                    && (spec.zone() == null || type.zones().contains(spec.zone())));
  }

  /** Returns the number of tasks of a job that fit on an empty machine. */
  public int fits(JobSpec spec) {
    long tasks = Math.min(cpus / spec.cpus(), memory / spec.memory());
    if (spec.gpus() > 0) {
      tasks = Math.min(tasks, gpus / spec.gpus());
    }
    return (int) Math.min(tasks, Integer.MAX_VALUE);
  }

  /** Returns the price of an instance per hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
