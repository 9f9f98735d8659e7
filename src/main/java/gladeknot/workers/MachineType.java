package gladeknot.workers;

import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import java.util.List;
import java.util.Map;

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

  /** Reads a type as the cloud lists it. */
  public static MachineType read(Map<String, Object> m) {
    return new MachineType(
        Json.text(m, "label"),
        Math.round(Json.real(m, "cores", 0) * 1000),
        Math.round(Json.real(m, "accelerators", 0) * 1000),
        Math.round(Json.real(m, "memoryGb", 0) * 1000),
        Json.real(m, "cacheGb", 0),
        Json.real(m, "fetchGbPerS", 0.1),
        Json.real(m, "rate", 0),
        Json.real(m, "marketPrice", 0),
        (long) (Json.real(m, "readyS", 30) * 1e6),
        Json.texts(m, "glades"));
  }

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
