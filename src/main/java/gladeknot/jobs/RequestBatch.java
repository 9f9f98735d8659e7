package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.state.Mutation;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Requests about different jobs that are committed in one transaction. */
final class RequestBatch {
  /** Revision in the precondition for a key that must not exist. */
  private static final long ABSENT = 0;

  private final int maxOperations;
  private final int maxBytes;
  private final Map<String, Long> preconditions = new LinkedHashMap<>();
  private final List<Mutation> mutations = new ArrayList<>();
  private final List<PendingRequest> requests = new ArrayList<>();
  private int recordBytes;

  /** Creates an empty batch. It is full once one of the two limits is reached. */
  RequestBatch(int maxOperations, int maxBytes) {
    this.maxOperations = maxOperations;
    this.maxBytes = maxBytes;
  }

  boolean isFull() {
    return mutations.size() >= maxOperations || recordBytes >= maxBytes;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Returns whether the batch already changes a job's record. */
  boolean changes(String jobId) {
    return preconditions.containsKey(Job.key(jobId));
  }

  /** Adds a submission with the record to be stored for it. */
  void addSubmission(PendingRequest.Submission submission, Map<String, Object> record) {
    String key = Job.key(submission.jobId());
    preconditions.put(key, ABSENT);
    preconditions.put(Job.archiveKey(submission.jobId()), ABSENT);
    recordBytes += Json.bytes(record).length;
    mutations.add(Mutation.put(key, record));
    requests.add(submission);
  }

  /** Adds a cancellation of an unfinished job. */
  void addCancellation(PendingRequest.Cancellation cancellation, Job job) {
    String key = Job.key(job.id());
    preconditions.put(key, job.modRevision());
    mutations.add(Mutation.put(key, JobRecordCodec.encodeCancelled(job.tasks())));
    requests.add(cancellation);
  }

  /** Returns the preconditions: the revisions that the records must have, by key. */
  Map<String, Long> preconditions() {
    return preconditions;
  }

  /** Returns the mutations, in the order of the requests. */
  List<Mutation> mutations() {
    return mutations;
  }

  /** Returns the requests, in the order in which they were added. */
  List<PendingRequest> requests() {
    return requests;
  }
}
