package gladeknot.jobs;

import gladeknot.jobs.SubmissionOutcome.Rejected;
import gladeknot.jobs.SubmissionOutcome.Rejected.Cause;

/** Creates the rejections of submissions, whose texts name the protocol's fields. */
final class SubmissionErrors {
  private SubmissionErrors() {}

  static Rejected notAnObject() {
    return new Rejected(Cause.MALFORMED, "body: not a JSON object");
  }

  static Rejected malformed(MalformedJobException fault) {
    return new Rejected(Cause.MALFORMED, fault.getMessage());
  }

  /**
   * Rejects a submission whose record would exceed the maximum size of a value in the state
   * service.
   */
  static Rejected tooLong(JobSpec spec) {
    String longestField = spec.dependencies().isEmpty() ? "hosttypes" : "waitsOn";
    return new Rejected(Cause.MALFORMED, longestField + ": too long");
  }

  /** The state service refuses the job's record. */
  static Rejected notStorable() {
    return new Rejected(Cause.MALFORMED, "the job can't be stored");
  }

  static Rejected unknownTeam(String team) {
    return unsatisfiable("owner: unknown team " + team);
  }

  static Rejected exceedsTeamLimit(String team) {
    return unsatisfiable("cores, accelerators: more than the limit of team " + team);
  }

  static Rejected fitsNoMachineType() {
    return unsatisfiable("cores, accelerators, memoryGb: a task fits no allowed type");
  }

  static Rejected dependsOnItself() {
    return unsatisfiable("waitsOn: names the job itself");
  }

  static Rejected unknownDependency(String dependency) {
    return unsatisfiable("waitsOn: no such job " + dependency);
  }

  static Rejected dependsOnService(String dependency) {
    return unsatisfiable("waitsOn: a service never ends: " + dependency);
  }

  private static Rejected unsatisfiable(String reason) {
    return new Rejected(Cause.UNSATISFIABLE, reason);
  }
}
