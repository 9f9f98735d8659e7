package gladeknot.fleet;

import gladeknot.commit.TransactionCommitter;
import gladeknot.workers.Worker;

/**
 * Writes the stored records of workers. Each write is conditional on the record as the followed
 * copy has it, and on the ownership of a shard.
 */
final class WorkerRecords {
  private final TransactionCommitter committer;

  WorkerRecords(TransactionCommitter committer) {
    this.committer = committer;
  }

  /** Learns whether a write was committed. */
  interface CommitHandler {
    void onResult(boolean committed);
  }

  /** Registers a machine; {@code ownedShard} is the writer's, the record may name another. */
  void create(String host, int ownedShard, String record, CommitHandler handler) {
    write(host, ownedShard, null, record, handler);
  }

  /** Moves a worker to another shard. */
  void transfer(Worker worker, int toShard, CommitHandler handler) {
    write(worker.host(), worker.shard(), worker.record(), worker.record(toShard, false), handler);
  }

  /** Marks a worker whose instance is to be released. */
  void markTerminating(Worker worker, CommitHandler handler) {
    int shard = worker.shard();
    write(worker.host(), shard, worker.record(), worker.record(shard, true), handler);
  }

  /** Marks a worker whose instance was released by a shard's owner. */
  void markReleased(Worker worker, int ownedShard) {
    write(worker.host(), ownedShard, worker.record(), Worker.RELEASED, committed -> {});
  }

  private void write(String host, int ownedShard, String from, String to, CommitHandler handler) {
    committer.submit(
        new TransactionCommitter.FieldMutation(
            ownedShard, Worker.key(host), Worker.field(host), from, to, handler::onResult));
  }
}
