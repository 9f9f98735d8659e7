package gladeknot.jobs;

import gladeknot.state.Entry;
import java.util.Map;
import java.util.Optional;

/** Decodes jobs' records, for checkers of the committed state. */
public final class RecordedJobs {
  private RecordedJobs() {}

  /** Returns the job of a record; empty if the job is finished. */
  public static Optional<Job> active(String id, Map<String, Object> record) {
    return Optional.of(JobRecordCodec.decode(id, new Entry(record, 1))).filter(Job::active);
  }
}
