package gladeknot.fleet;

import gladeknot.commit.FieldMutation;
import gladeknot.commit.MutationCallback;
import gladeknot.commit.TransactionCommitter;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRecordCodec;

/**
 * Writes the stored records of workers. The preconditions of each write are the record as the watch
 * cache has it, and the ownership of a shard.
 */
final class WorkerRecords {
  private final TransactionCommitter committer;

  WorkerRecords(TransactionCommitter committer) {
    this.committer = committer;
  }

  /**
   * Registers a machine.
   *
   * @param ownedShard the shard whose ownership the write depends on; the record may name another
   *     shard
   */
  void create(String host, int ownedShard, WorkerRecord record, MutationCallback callback) {
    write(host, ownedShard, null, WorkerRecordCodec.encode(record), callback);
  }

  /** Transfers a worker to another shard. */
  void transfer(Worker worker, int toShard, MutationCallback callback) {
    write(
        worker.host(),
        worker.shard(),
        worker.encodedRecord(),
        worker.encodedRecord(toShard, false),
        callback);
  }

  /** Marks a worker as terminating: its instance is to be released. */
  void markTerminating(Worker worker, MutationCallback callback) {
    int shard = worker.shard();
    write(
        worker.host(), shard, worker.encodedRecord(), worker.encodedRecord(shard, true), callback);
  }

  /** Marks a worker as released, as the owner of {@code ownedShard}. */
  void markReleased(Worker worker, int ownedShard) {
    write(
        worker.host(),
        ownedShard,
        worker.encodedRecord(),
        WorkerRecordCodec.RELEASED,
        committed -> {});
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
