package gladeknot.jobs;

import gladeknot.state.Entry;
import java.util.Map;
import java.util.Optional;

/** Reads jobs' records, for checkers of what is committed. */
public final class RecordedJobs {
  private RecordedJobs() {}

  /** A job by its record; empty if it is over. */
  public static Optional<Job> active(String id, Map<String, Object> record) {
    return Optional.of(JobRecordCodec.decode(id, new Entry(record, 1))).filter(Job::active);
  }
}
