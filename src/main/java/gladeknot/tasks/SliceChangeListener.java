package gladeknot.tasks;

/** Receives the slices whose stored records differ from those that were loaded. */
@FunctionalInterface
public interface SliceChangeListener {
  /** The record of a job in a shard was added, changed or removed. */
  void onRecordChanged(int shard, String job);
}
