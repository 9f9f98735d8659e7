package gladeknot.jobs;

import com.google.common.math.LongMath;
import gladeknot.jobs.SubmissionOutcome.Accepted;
import gladeknot.jobs.SubmissionOutcome.AlreadyAccepted;
import gladeknot.jobs.SubmissionOutcome.NeedsLookup;
import gladeknot.jobs.SubmissionOutcome.RetryLater;
import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import java.util.Optional;

/** Validates well-formed submissions before they are committed. */
final class SubmissionValidator {
  /**
   * Size allowed, in addition, for the home shard and the time in a record. The record is measured
   * with 0 for both.
   */
  private static final int HOME_AND_TIME_BYTES = 64;

  private final Settings settings;
  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final JobRequestHandler.ClusterView cluster;

  SubmissionValidator(
      Settings settings,
      StateStore stateStore,
      JobRegistry jobs,
      JobRequestHandler.ClusterView cluster) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.cluster = cluster;
  }

  /**
   * Validates a submission against the jobs that the registry knows. A rejection does not hold for
   * a job that was accepted before.
   */
  SubmissionOutcome validate(JobSpec spec) {
    if (jobs.isKnown(spec.id())) {
      return new AlreadyAccepted(spec.id());
    }
    Optional<SubmissionOutcome> rejection = quotaRejection(spec);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (!cluster.typesKnown()) {
      return new RetryLater("machine types are not known yet");
    }
    if (!cluster.fitsSomeType(spec)) {
      return SubmissionErrors.fitsNoMachineType();
    }
    if (recordBytes(spec) > stateStore.limits().maxValueBytes()) {
      return SubmissionErrors.tooLong(spec);
    }
    if (spec.dependencies().contains(spec.id())) {
      return SubmissionErrors.dependsOnItself();
    }
    return validateDependencies(spec);
  }

  private SubmissionOutcome validateDependencies(JobSpec spec) {
    for (String dependency : spec.dependencies()) {
      if (!jobs.isKnown(dependency)) {
        return new NeedsLookup(spec, dependency);
      }
      Job job = jobs.unfinished(dependency);
      if (job != null && job.spec().shape() == JobSpec.Shape.SERVICE) {
        return SubmissionErrors.dependsOnService(dependency);
      }
    }
    return new Accepted(spec);
  }

  private Optional<SubmissionOutcome> quotaRejection(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of(SubmissionErrors.unknownTeam(spec.team()));
    }
    long tasksAtOnce = spec.unsplit() ? spec.tasks() : 1;
    if (!team.allows(
        LongMath.saturatedMultiply(spec.cpus(), tasksAtOnce),
        LongMath.saturatedMultiply(spec.gpus(), tasksAtOnce))) {
      return Optional.of(SubmissionErrors.exceedsTeamLimit(spec.team()));
    }
    return Optional.empty();
  }

  private static int recordBytes(JobSpec spec) {
    return Json.bytes(JobRecordCodec.encodeAccepted(spec, 0, 0)).length + HOME_AND_TIME_BYTES;
  }
}
