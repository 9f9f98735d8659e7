package gladeknot.tasks;

/** The segment that a slice's record is stored in, and the segment that it belongs to. */
final class SegmentLocation {
  private final SegmentLayout layout;
  private final int shard;
  private final boolean unsplit;
  private final String job;

  /** Key according to the layout, computed for {@link #targetSplit}. */
  private String targetKey;

  private int targetSplit;

  /** Key of the segment that holds the record; null if the state service has no record. */
  private String storedKey;

  SegmentLocation(SegmentLayout layout, boolean unsplit, int shard, String job) {
    this.layout = layout;
    this.unsplit = unsplit;
    this.shard = shard;
    this.job = job;
  }

  /** Returns the key of the segment that the record belongs to in the cluster's storage format. */
  String targetKey() {
    int split = layout.segmentSplit();
    if (split != targetSplit) {
      targetSplit = split;
      targetKey = layout.key(shard, unsplit, job);
    }
    return targetKey;
  }

  /**
   * Returns the key of the segment that holds the record, or null if the state service has no
   * record.
   */
  String storedKey() {
    return storedKey;
  }

  /** Sets the key of the segment that holds the record; null if the state service has no record. */
  void setStoredKey(String key) {
    storedKey = key;
  }

  boolean isStored() {
    return storedKey != null;
  }

  boolean needsMigration() {
    return isStored() && !storedKey.equals(targetKey());
  }
}
