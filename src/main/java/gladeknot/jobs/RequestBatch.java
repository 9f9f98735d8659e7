package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.state.Mutation;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Requests about different jobs that are committed in one transaction. */
final class RequestBatch {
  /** The revision of a key that must not exist. */
  private static final long ABSENT = 0;

  private final int maxOperations;
  private final int maxBytes;
  private final Map<String, Long> conditions = new LinkedHashMap<>();
  private final List<Mutation> mutations = new ArrayList<>();
  private final List<PendingRequest> requests = new ArrayList<>();
  private int bytes;

  /** An empty batch; it takes requests until one of the two limits is reached. */
  RequestBatch(int maxOperations, int maxBytes) {
    this.maxOperations = maxOperations;
    this.maxBytes = maxBytes;
  }

  boolean isFull() {
    return mutations.size() >= maxOperations || bytes >= maxBytes;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Whether the batch changes a job's record already. */
  boolean changes(String jobId) {
    return conditions.containsKey(Job.key(jobId));
  }

  /** Adds a submission with the record to be stored for it. */
  void addSubmission(PendingRequest.Submission submission, Map<String, Object> record) {
    String key = Job.key(submission.jobId());
    conditions.put(key, ABSENT);
    bytes += Json.bytes(record).length;
    mutations.add(Mutation.put(key, record));
    requests.add(submission);
  }

  /** Adds a cancellation of a job that is not over. */
  void addCancellation(PendingRequest.Cancellation cancellation, Job job) {
    String key = Job.key(job.id());
    conditions.put(key, job.modRevision());
    mutations.add(Mutation.put(key, JobRecordCodec.encodeCancelled(job.tasks())));
    requests.add(cancellation);
  }

  /** The revisions that the records must have, by key. */
  Map<String, Long> conditions() {
    return conditions;
  }

  /** The changes, in the order of the requests. */
  List<Mutation> mutations() {
    return mutations;
  }

  /** The requests, in the order in which they were added. */
  List<PendingRequest> requests() {
    return requests;
  }
}
