package gladeknot.workers;

import gladeknot.jobs.JobSpec;
import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param name the type's name
 * @param cpus CPUs of a machine, in thousandths
 * @param gpus GPUs of a machine, in thousandths
 * @param memory memory of a machine, in thousandths of a GB
 * @param cacheGb size of the image cache, in GB
 * @param fetchGbPerSecond rate at which images are fetched, in GB per second
 * @param price price of an on-demand instance per hour
 * @param spotPrice price of a spot instance per hour
 * @param bootMicros time that an instance takes to boot, in microseconds
 * @param zones zones that offer the type
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
    List<String> zones) {

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
