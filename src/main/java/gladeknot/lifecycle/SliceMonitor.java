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
 * Asserts while the controller runs that each task of an active job belongs to one slice, and each
 * slice to one record. A violation is logged once, with all figures, and counted; nothing of the
 * job is started here while it lasts.
 */
final class SliceMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(SliceMonitor.class);
  private static final long INTERVAL_MICROS = 500_000;

  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final Set<String> violated = new HashSet<>();
  private long nextMicros;
  private long violations;

  SliceMonitor(Membership membership, JobRegistry jobs, SliceRegistry slices) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** How often a job was found whose slices overlap or have several records. */
  long violations() {
    return violations;
  }

  /** Checks the jobs whose slices have changed, if it is time. */
  void tick(long nowMicros) {
    if (nowMicros < nextMicros || !membership.cacheLoaded()) {
      return;
    }
    nextMicros = nowMicros + INTERVAL_MICROS;
    Set<String> changed = new HashSet<>(slices.takeLoadedJobs());
    changed.addAll(violated);
    changed.forEach(this::check);
  }

  private void check(String id) {
    Optional<String> violation =
        Optional.ofNullable(jobs.active(id)).flatMap(slices.integrity()::violation);
    if (violation.isEmpty()) {
      violated.remove(id);
    } else if (violated.add(id)) {
      violations++;
      LOG.error(
          "slice integrity violated job={} {} mark_revision={} copy_revision={}",
          id,
          violation.get(),
          membership.format().revision(),
          membership.copyRevision());
    }
  }
}
