package gladeknot.tasks;

import gladeknot.state.StateStore;
import java.util.function.IntSupplier;

/**
 * Mapping of slices to the segments that hold their records.
 *
 * <p>A shard's records are stored in segments. A segment is a key that holds many records. There
 * are few enough segments that one write commits many starts and ends, and enough of them that the
 * values of a full shard stay below the value size limit. Gangs and services change rarely and have
 * segments apart from those of arrays. A start of a spread job has the segments of the job's slices
 * as preconditions. If these segments also held arrays, such starts would conflict with the
 * frequent changes to arrays.
 *
 * <p>The cluster's storage format says how many segments each segment of the first version is split
 * into. The names of split segments contain the number of segments, so that each key shows which
 * layout it belongs to. All records of a segment in a layout with more segments come from one
 * segment of a layout with fewer segments.
 */
public final class SegmentLayout {
  /** Prefix of the keys of all segments. */
  public static final String KEY_PREFIX = StateStore.ROOT + "sl/";

  private static final int ARRAY_SEGMENTS = 4;
  private static final int UNSPLIT_SEGMENTS = 2;
  private static final char ARRAY = 'a';
  private static final char UNSPLIT = 'w';

  private final IntSupplier segmentSplit;

  /**
   * Creates a layout.
   *
   * @param segmentSplit supplies the number of segments that each segment of the first version is
   *     split into; called on each use
   */
  SegmentLayout(IntSupplier segmentSplit) {
    this.segmentSplit = segmentSplit;
  }

  /** Returns the prefix of the keys of a shard's segments. */
  public static String keyPrefix(int shard) {
    return KEY_PREFIX + shard + "/";
  }

  /** Returns the shard whose records a segment holds. */
  static int shardOf(String key) {
    return Integer.parseInt(
        key.substring(KEY_PREFIX.length(), key.indexOf('/', KEY_PREFIX.length())));
  }

  /**
   * Returns the key of the segment that a slice's record belongs to in the cluster's storage
   * format.
   */
  String key(int shard, boolean unsplit, String job) {
    int split = segmentSplit.getAsInt();
    int count = (unsplit ? UNSPLIT_SEGMENTS : ARRAY_SEGMENTS) * split;
    int number = Math.floorMod(job.hashCode(), count);
    String name = split == 1 ? String.valueOf(number) : count + "-" + number;
    return keyPrefix(shard) + (unsplit ? UNSPLIT : ARRAY) + name;
  }

  /** Returns whether a segment holds gangs and services, which are not split across shards. */
  static boolean holdsUnsplitJobs(String key) {
    return key.charAt(keyPrefix(shardOf(key)).length()) == UNSPLIT;
  }

  /** Returns the number of segments that each segment of the first version is split into. */
  int segmentSplit() {
    return segmentSplit.getAsInt();
  }

  /**
   * Returns whether records may be written in the compact form, which the first version can't read.
   */
  boolean allowsCompactForm() {
    return segmentSplit.getAsInt() > 1;
  }
}
