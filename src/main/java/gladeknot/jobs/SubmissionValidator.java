package gladeknot.jobs;

import gladeknot.jobs.SubmissionOutcome.Accepted;
import gladeknot.jobs.SubmissionOutcome.AlreadyAccepted;
import gladeknot.jobs.SubmissionOutcome.NeedsReadBarrier;
import gladeknot.jobs.SubmissionOutcome.RetryLater;
import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import java.util.Optional;

/** Decides what becomes of a well-formed submission before it is committed. */
final class SubmissionValidator {
  /** What a record's home shard and time take beyond those that it is measured with. */
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

  /** Judges a submission by the local copy, however old that is. */
  SubmissionOutcome validate(JobSpec spec) {
    if (jobs.isKnown(spec.id())) {
      return new AlreadyAccepted(spec.id());
    }
    Optional<SubmissionOutcome> fault = quotaFault(spec);
    if (fault.isPresent()) {
      return fault.get();
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
    if (!spec.dependencies().stream().allMatch(jobs::isKnown)) {
      return new NeedsReadBarrier(spec);
    }
    return validateDependencies(spec);
  }

  /** Judges a submission's dependencies; the copy is new enough to show all of them. */
  SubmissionOutcome validateDependencies(JobSpec spec) {
    if (jobs.isKnown(spec.id())) {
      return new AlreadyAccepted(spec.id());
    }
    for (String dependency : spec.dependencies()) {
      if (!jobs.isKnown(dependency)) {
        return SubmissionErrors.unknownDependency(dependency);
      }
      Job job = jobs.unfinished(dependency);
      if (job != null && job.spec().shape() == JobSpec.Shape.SERVICE) {
        return SubmissionErrors.dependsOnService(dependency);
      }
    }
    return new Accepted(spec);
  }

  private Optional<SubmissionOutcome> quotaFault(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of(SubmissionErrors.unknownTeam(spec.team()));
    }
    long tasksAtOnce = spec.unsplit() ? spec.tasks() : 1;
    if (!team.allows(spec.cpus() * tasksAtOnce, spec.gpus() * tasksAtOnce)) {
      return Optional.of(SubmissionErrors.exceedsTeamLimit(spec.team()));
    }
    return Optional.empty();
  }

  private static int recordBytes(JobSpec spec) {
    return Json.bytes(JobRecordCodec.encodeAccepted(spec, 0, 0)).length + HOME_AND_TIME_BYTES;
  }
}
