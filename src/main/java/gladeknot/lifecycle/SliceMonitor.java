package gladeknot.lifecycle;

import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.tasks.SliceRegistry;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks at run time the invariant that each task of an active job belongs to one slice and each
 * slice to one record. A violation is logged once, with all figures, and counted. While a violation
 * lasts, this controller starts no tasks of the job.
 */
final class SliceMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(SliceMonitor.class);
  private static final long CHECK_INTERVAL_MICROS = 500_000;

  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final Set<String> violatingJobs = new HashSet<>();
  private long nextCheckMicros;
  private long violations;

  SliceMonitor(Membership membership, JobRegistry jobs, SliceRegistry slices) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
  }

  /**
   * Returns the number of times that the slices of a job were found to overlap or to have several
   * records.
   */
  long violations() {
    return violations;
  }

  /** Checks the jobs whose slices have changed or violate the invariant, if a check is due. */
  void tick(long nowMicros) {
    if (nowMicros < nextCheckMicros || !membership.cacheLoaded()) {
      return;
    }
    nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
    Set<String> jobsToCheck = new HashSet<>(slices.takeLoadedJobs());
    jobsToCheck.addAll(violatingJobs);
    jobsToCheck.forEach(this::check);
  }

  private void check(String id) {
    Optional<String> violation =
        Optional.ofNullable(jobs.active(id)).flatMap(slices.integrity()::violation);
    if (violation.isEmpty()) {
      violatingJobs.remove(id);
    } else if (violatingJobs.add(id)) {
      violations++;
      LOG.error(
          "slice integrity violated job={} {} mark_revision={} copy_revision={}",
          id,
          violation.get(),
          membership.format().revision(),
          membership.cacheRevision());
    }
  }
}
