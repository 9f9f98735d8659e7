package gladeknot.tasks;

/** Listener for slices whose stored records differ from those that were loaded. */
@FunctionalInterface
public interface SliceChangeListener {
  /** Called when the record of a job's slice in a shard was added, changed or removed. */
  void onRecordChanged(int shard, String job);
}
