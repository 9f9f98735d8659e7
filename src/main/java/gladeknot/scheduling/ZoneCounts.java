package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;

/** Counts a job's tasks in each zone if the zone of its next task depends on them. */
final class ZoneCounts {
  private ZoneCounts() {}

  /**
   * Returns the number of a job's tasks in each zone, in a map that the caller may change. The map
   * is empty for jobs whose tasks may be in any zone independently of one another.
   */
  static Map<String, Integer> of(JobSpec spec, SliceRegistry slices) {
    return spec.spread() || spec.colocated() ? slices.zoneCounts(spec.id()) : new HashMap<>();
  }
}
