package gladeknot.fleet;

import gladeknot.commit.FieldMutation;
import gladeknot.commit.MutationCallback;
import gladeknot.commit.TransactionCommitter;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRecordCodec;

/**
 * Writes the stored records of workers. Each write is conditional on the record as the followed
 * copy has it, and on the ownership of a shard.
 */
final class WorkerRecords {
  private final TransactionCommitter committer;

  WorkerRecords(TransactionCommitter committer) {
    this.committer = committer;
  }

  /** Registers a machine; {@code ownedShard} is the writer's, the record may name another. */
  void create(String host, int ownedShard, WorkerRecord record, MutationCallback callback) {
    write(host, ownedShard, null, WorkerRecordCodec.encode(record), callback);
  }

  /** Moves a worker to another shard. */
  void transfer(Worker worker, int toShard, MutationCallback callback) {
    write(worker.host(), worker.shard(), worker.record(), worker.record(toShard, false), callback);
  }

  /** Marks a worker whose instance is to be released. */
  void markTerminating(Worker worker, MutationCallback callback) {
    int shard = worker.shard();
    write(worker.host(), shard, worker.record(), worker.record(shard, true), callback);
  }

  /** Marks a worker whose instance was released by a shard's owner. */
  void markReleased(Worker worker, int ownedShard) {
    write(worker.host(), ownedShard, worker.record(), WorkerRecordCodec.RELEASED, committed -> {});
  }

  private void write(
      String host, int ownedShard, String from, String to, MutationCallback callback) {
    committer.submit(
        new FieldMutation(
            ownedShard,
            WorkerRecordCodec.key(host),
            WorkerRecordCodec.field(host),
            from,
            to,
            callback));
  }
}
