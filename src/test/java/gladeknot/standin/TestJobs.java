package gladeknot.standin;

import gladeknot.json.Json;
import java.util.List;
import java.util.Map;

/** Jobs as users submit them, for tests. */
public final class TestJobs {
  private TestJobs() {}

  /** Returns a job of one-CPU tasks; its shape is array, ensemble or service. */
  public static Map<String, Object> job(String id, String shape, int tasks) {
    boolean array = shape.equals("array");
    boolean service = shape.equals("service");
    Map<String, Object> job = Json.of("id", id, "jobclass", "batch", "owner", "dev");
    job.put("shape", shape);
    job.put("rank", service ? "prod" : "normal");
    job.put("strands", tasks);
    job.put("cores", 1.0);
    job.put("accelerators", 0.0);
    job.put("memoryGb", 1.0);
    job.put("bundle", "img");
    job.put("sizeGb", 0.5);
    job.put("hosttypes", null);
    job.put("glade", null);
    job.put("together", shape.equals("ensemble"));
    job.put("scatter", service);
    job.put("loaners", array);
    job.put("guessS", 6.0);
    job.put("snapshotS", 0.0);
    job.put("flushS", 0.0);
    job.put("dueS", array ? 60.0 : null);
    return job;
  }

  /** Returns a job array of one-CPU tasks that depends on other jobs. */
  public static Map<String, Object> jobAfter(String id, int tasks, String... dependencies) {
    Map<String, Object> job = job(id, "array", tasks);
    job.put("waitsOn", List.of(dependencies));
    return job;
  }
}
