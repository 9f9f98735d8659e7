package gladeknot.tasks;

/** In which segment a slice's record is stored, and in which it belongs. */
final class SegmentLocation {
  private final SegmentLayout layout;
  private final int shard;
  private final boolean unsplit;
  private final String job;

  /** The key by the layout, and the split that it was worked out for. */
  private String targetKey;

  private int targetSplit;

  /** The key of the segment that holds the record; null if the state store has none. */
  private String storedKey;

  SegmentLocation(SegmentLayout layout, boolean unsplit, int shard, String job) {
    this.layout = layout;
    this.unsplit = unsplit;
    this.shard = shard;
    this.job = job;
  }

  /** The segment that the record belongs in by the cluster's storage format. */
  String targetKey() {
    int split = layout.segmentSplit();
    if (split != targetSplit) {
      targetSplit = split;
      targetKey = layout.key(shard, unsplit, job);
    }
    return targetKey;
  }

  /** The segment that holds the record; null if the state store has none. */
  String storedKey() {
    return storedKey;
  }

  /** The record is in this segment; null if it is in none. */
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
