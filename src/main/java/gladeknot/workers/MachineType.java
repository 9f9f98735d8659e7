package gladeknot.workers;

import gladeknot.jobs.JobSpec;
import java.util.List;

/**
 * A machine type as the cloud offers it.
 *
 * @param name the type's name
 * @param cpus thousandths of a CPU
 * @param gpus thousandths of a GPU
 * @param memory thousandths of a GB
 * @param cacheGb the size of the image cache
 * @param fetchGbPerS how fast images are fetched
 * @param price the price of an on-demand instance an hour
 * @param spotPrice the price of a spot instance an hour
 * @param readyMicros how long an instance takes to boot
 * @param zones the zones that have the type
 */
public record MachineType(
    String name,
    long cpus,
    long gpus,
    long memory,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    long readyMicros,
    List<String> zones) {

  /** How many tasks of a job an empty machine takes. */
  public int fits(JobSpec spec) {
    long tasks = Math.min(cpus / spec.cpus(), memory / spec.memory());
    if (spec.gpus() > 0) {
      tasks = Math.min(tasks, gpus / spec.gpus());
    }
    return (int) Math.min(tasks, Integer.MAX_VALUE);
  }

  /** The price of an instance an hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
