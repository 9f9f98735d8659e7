package gladeknot.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;

/** The most recently used finished jobs. A finished job's record never changes again. */
final class FinishedJobCache {
  /** Maximum number of jobs; more than the operators' deployments finish in half an hour. */
  private static final int MAX_JOBS = 4096;

  private final Cache<String, Job> jobs =
      CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(MAX_JOBS).build();

  /** Returns a job; null if it is not finished or not in the cache. */
  Job get(String id) {
    return jobs.getIfPresent(id);
  }

  /** Adds a finished job. */
  void put(Job job) {
    jobs.put(job.id(), job);
  }

  /** Removes a job whose record was deleted. */
  void remove(String id) {
    jobs.invalidate(id);
  }
}
