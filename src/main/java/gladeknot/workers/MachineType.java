package gladeknot.workers;

import gladeknot.jobs.JobSpec;
import java.util.List;

/** A machine type as the cloud offers it; amounts in thousandths, prices an hour. */
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
    long n = Math.min(cpus / spec.cpus(), memory / spec.memory());
    if (spec.gpus() > 0) {
      n = Math.min(n, gpus / spec.gpus());
    }
    return (int) Math.min(n, Integer.MAX_VALUE);
  }

  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
