package gladeknot.jobs;

import gladeknot.state.KeyRead;
import gladeknot.state.StateStore;
import java.util.function.Consumer;

/**
 * Reads the records of jobs that the registry does not know. The registry keeps unfinished jobs and
 * some of the finished ones; the state service keeps all.
 */
final class JobLookup {
  /** Result of a lookup. */
  sealed interface Result {
    /** The job is finished. */
    record Finished(Job job) implements Result {}

    /** The job is not finished; the registry knows it once the cache has reached the revision. */
    record Unfinished(long revision) implements Result {}

    /** No job with this id has been accepted. */
    record Unknown() implements Result {}

    /** The state service did not answer in time. */
    record Failed() implements Result {}
  }

  private final StateStore stateStore;
  private final JobRegistry jobs;

  JobLookup(StateStore stateStore, JobRegistry jobs) {
    this.stateStore = stateStore;
    this.jobs = jobs;
  }

  /** Looks a job up; the registry then knows a job that is finished. */
  void lookUp(String id, Consumer<Result> callback) {
    stateStore.readAny(Job.possibleKeys(id), read -> callback.accept(result(id, read)));
  }

  private Result result(String id, KeyRead read) {
    if (read instanceof KeyRead.Found found) {
      return recordResult(JobRecordCodec.decode(id, found.entry()));
    }
    return read instanceof KeyRead.Absent ? new Result.Unknown() : new Result.Failed();
  }

  private Result recordResult(Job job) {
    if (job.active()) {
      return new Result.Unfinished(job.modRevision());
    }
    jobs.onFinalRecordRead(job);
    return new Result.Finished(job);
  }
}
