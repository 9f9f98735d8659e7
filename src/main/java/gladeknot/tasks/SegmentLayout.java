package gladeknot.tasks;

import gladeknot.state.StateStore;
import java.util.function.IntSupplier;

/**
 * In which key a slice's record belongs.
 *
 * <p>A shard's record is cut into parts, each with many slices: few enough that one write serves
 * many starts and ends, enough of them that a full shard stays below the largest value. Gangs and
 * services, which change seldom, lie apart from arrays: starts of spread jobs are conditional on
 * them.
 *
 * <p>The cluster's format says into how many each of the first version's parts is split. The number
 * of parts is written into the names of split ones, so that every key tells how it is read; a
 * slice's part by a larger number of parts is always a piece of its part by a smaller one.
 */
public final class SegmentLayout {
  /** Begins the keys of all segments. */
  public static final String KEY_PREFIX = StateStore.ROOT + "sl/";

  private static final int ARRAY_PARTS = 4;
  private static final int WHOLE_PARTS = 2;
  private static final char ARRAY = 'a';
  private static final char WHOLE = 'w';

  private final IntSupplier segmentSplit;

  /** A layout that asks each time into how many pieces a part of the first version is split. */
  SegmentLayout(IntSupplier partSplit) {
    this.segmentSplit = partSplit;
  }

  /** Begins the keys of a shard's segments. */
  public static String keyPrefix(int shard) {
    return KEY_PREFIX + shard + "/";
  }

  /** The shard whose records a segment holds. */
  static int shardOf(String key) {
    return Integer.parseInt(
        key.substring(KEY_PREFIX.length(), key.indexOf('/', KEY_PREFIX.length())));
  }

  /** The key of the part that a slice's record belongs into by the cluster's format. */
  String key(int shard, boolean whole, String job) {
    int split = segmentSplit.getAsInt();
    int parts = (whole ? WHOLE_PARTS : ARRAY_PARTS) * split;
    int part = Math.floorMod(job.hashCode(), parts);
    String name = split == 1 ? String.valueOf(part) : parts + "-" + part;
    return keyPrefix(shard) + (whole ? WHOLE : ARRAY) + name;
  }

  /** Whether a part holds gangs and services. */
  static boolean isWhole(String key) {
    return key.charAt(keyPrefix(shardOf(key)).length()) == WHOLE;
  }

  /** Into how many pieces a part of the first version is split. */
  int segmentSplit() {
    return segmentSplit.getAsInt();
  }

  /** Whether records may be written in the compact form, which the first version can't read. */
  boolean compact() {
    return segmentSplit.getAsInt() > 1;
  }
}
