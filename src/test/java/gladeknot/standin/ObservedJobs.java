package gladeknot.standin;

import gladeknot.json.Json;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** All jobs that users of a simulation have submitted, and how they depend on one another. */
final class ObservedJobs {
  private final Map<String, ObservedJob> jobs = new TreeMap<>();
  private final PipelineRules pipelines = new PipelineRules();

  ObservedJob add(Map<String, Object> submitted) {
    ObservedJob job = new ObservedJob(submitted);
    jobs.put(job.id(), job);
    pipelines.submitted(job.id(), Json.texts(submitted, "waitsOn"));
    return job;
  }

  /** The rules for jobs that depend on others. */
  PipelineRules pipelines() {
    return pipelines;
  }

  /** All jobs by identifier. */
  Collection<ObservedJob> all() {
    return jobs.values();
  }

  Set<String> ids() {
    return jobs.keySet();
  }

  Optional<ObservedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** A job that was submitted. */
  ObservedJob get(String id) {
    return find(id).orElseThrow();
  }

  /** The job of a task. */
  Optional<ObservedJob> ofTask(String task) {
    return find(jobId(task));
  }

  /** The identifier of a task's job. */
  static String jobId(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  void taskDone(String task) {
    int index = Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
    ofTask(task).ifPresent(job -> job.taskDone(index));
  }

  /** Whether a job that this one depends on has tasks that have not completed. */
  boolean mustWait(ObservedJob job) {
    return pipelines.isBlocked(
        job.id(), id -> find(id).filter(ObservedJob::allTasksDone).isPresent());
  }
}
