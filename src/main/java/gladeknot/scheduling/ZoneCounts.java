package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;

/** How many of a job's tasks are in each zone, as far as that decides on the zone of the next. */
final class ZoneCounts {
  private ZoneCounts() {}

  /** A map that the caller may change; empty for jobs whose tasks' zones are independent. */
  static Map<String, Integer> of(JobSpec spec, SliceRegistry slices) {
    return spec.spread() || spec.colocated() ? slices.zoneCounts(spec.id()) : new HashMap<>();
  }
}
