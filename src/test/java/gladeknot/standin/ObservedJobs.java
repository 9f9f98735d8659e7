package gladeknot.standin;

import gladeknot.json.Json;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** All jobs that users of a simulation have submitted, and the dependencies between them. */
final class ObservedJobs {
  private final Map<String, ObservedJob> jobs = new TreeMap<>();
  private final JobDependencyRules dependencies = new JobDependencyRules();

  ObservedJob add(Map<String, Object> submitted) {
    ObservedJob job = new ObservedJob(submitted);
    jobs.put(job.id(), job);
    dependencies.submitted(job.id(), Json.texts(submitted, "waitsOn"));
    return job;
  }

  /** Returns the rules for jobs that depend on other jobs. */
  JobDependencyRules dependencies() {
    return dependencies;
  }

  /** Returns all jobs in the order of their identifiers. */
  Collection<ObservedJob> all() {
    return jobs.values();
  }

  Set<String> ids() {
    return jobs.keySet();
  }

  Optional<ObservedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns a job that was submitted. */
  ObservedJob get(String id) {
    return find(id).orElseThrow();
  }

  /** Returns the job of a task. */
  Optional<ObservedJob> ofTask(String task) {
    return find(jobId(task));
  }

  /** Returns the identifier of a task's job. */
  static String jobId(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  void taskDone(String task) {
    int index = Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
    ofTask(task).ifPresent(job -> job.taskDone(index));
  }

  /** Returns whether a dependency of the job has tasks that have not completed. */
  boolean mustWait(ObservedJob job) {
    return dependencies.isBlocked(
        job.id(), id -> find(id).filter(ObservedJob::allTasksDone).isPresent());
  }
}
