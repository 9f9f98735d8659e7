package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts a job's tasks by zone and checks them against the job's zone constraints. */
final class ZoneConstraints {
  private final HostDirectory hosts;

  ZoneConstraints(HostDirectory hosts) {
    this.hosts = hosts;
  }

  /**
   * Returns the number of tasks of the given slices that may be on machines of each zone, in a new
   * map.
   */
  Map<String, Integer> countByZone(List<Slice> slices) {
    Map<String, Integer> counts = new HashMap<>();
    for (Slice slice : slices) {
      for (Attempt attempt : slice.attemptsByTask().values()) {
        String zone = hosts.zone(attempt.host());
        if (!attempt.closed() && zone != null) {
          counts.merge(zone, 1, Integer::sum);
        }
      }
    }
    return counts;
  }

  /** Returns whether a job's zone constraints allow the given numbers of tasks per zone. */
  static boolean satisfied(JobSpec spec, Map<String, Integer> counts) {
    if (spec.colocated() && counts.size() > 1) {
      return false;
    }
    if (!spec.spread()) {
      return true;
    }
    for (int count : counts.values()) {
      if (count > spec.maxPerZone()) {
        return false;
      }
    }
    return true;
  }
}
