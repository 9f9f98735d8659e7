package gladeknot.app;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRecordCodec;
import gladeknot.state.CacheFilter;
import java.util.List;
import java.util.Map;

/**
 * Keeps final records of jobs out of the watch cache. A job whose dependencies finished unnoticed
 * is applied only together with their final records, so that it is never taken for a held job.
 */
final class JobCacheFilter implements CacheFilter {
  private final ControllerComponents components;

  JobCacheFilter(ControllerComponents components) {
    this.components = components;
  }

  @Override
  public boolean keeps(String key, Map<String, Object> data) {
    return !JobRecordCodec.isFinalRecord(key, data);
  }

  @Override
  public List<List<String>> unknownReferences(String key, Map<String, Object> data) {
    return JobRecordCodec.dependencies(key, data).stream()
        .filter(dependency -> !components.jobs.isKnown(dependency))
        .map(Job::possibleKeys)
        .toList();
  }
}
