package gladeknot.tasks;

import gladeknot.state.StateStore;
import java.util.function.IntSupplier;

/**
 * Which segment a slice's record belongs in.
 *
 * <p>A shard's records are stored in segments, keys that hold many records each: few enough that
 * one write commits many starts and ends, and enough that a full shard stays below the largest
 * value. Gangs and services, which change seldom, are kept apart from arrays: starts of spread jobs
 * are conditional on their segments.
 *
 * <p>The cluster's storage format says into how many each of the first version's segments is split.
 * The number of segments is part of the names of split ones, so that every key tells how it is
 * read; the records of a segment of a larger number all come from one segment of a smaller one.
 */
public final class SegmentLayout {
  /** Begins the keys of all segments. */
  public static final String KEY_PREFIX = StateStore.ROOT + "sl/";

  private static final int ARRAY_SEGMENTS = 4;
  private static final int UNSPLIT_SEGMENTS = 2;
  private static final char ARRAY = 'a';
  private static final char UNSPLIT = 'w';

  private final IntSupplier segmentSplit;

  /** A layout that asks each time into how many a segment of the first version is split. */
  SegmentLayout(IntSupplier segmentSplit) {
    this.segmentSplit = segmentSplit;
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

  /** The key of the segment that a slice's record belongs in by the cluster's storage format. */
  String key(int shard, boolean unsplit, String job) {
    int split = segmentSplit.getAsInt();
    int count = (unsplit ? UNSPLIT_SEGMENTS : ARRAY_SEGMENTS) * split;
    int number = Math.floorMod(job.hashCode(), count);
    String name = split == 1 ? String.valueOf(number) : count + "-" + number;
    return keyPrefix(shard) + (unsplit ? UNSPLIT : ARRAY) + name;
  }

  /** Whether a segment holds gangs and services, which are not split over shards. */
  static boolean holdsUnsplitJobs(String key) {
    return key.charAt(keyPrefix(shardOf(key)).length()) == UNSPLIT;
  }

  /** Into how many segments each one of the first version is split. */
  int segmentSplit() {
    return segmentSplit.getAsInt();
  }

  /** Whether records may be written in the compact form, which the first version can't read. */
  boolean compact() {
    return segmentSplit.getAsInt() > 1;
  }
}
