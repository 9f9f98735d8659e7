package gladeknot.placement;

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
final class RecordLayout {
  private static final int ARRAY_PARTS = 4;
  private static final int WHOLE_PARTS = 2;
  private static final char ARRAY = 'a';
  private static final char WHOLE = 'w';

  private final IntSupplier partSplit;

  /** A layout that asks each time into how many pieces a part of the first version is split. */
  RecordLayout(IntSupplier partSplit) {
    this.partSplit = partSplit;
  }

  /** The key of the part that a slice's record belongs into by the cluster's format. */
  String key(int shard, boolean whole, String job) {
    int split = partSplit.getAsInt();
    int parts = (whole ? WHOLE_PARTS : ARRAY_PARTS) * split;
    int part = Math.floorMod(job.hashCode(), parts);
    String name = split == 1 ? String.valueOf(part) : parts + "-" + part;
    return Slice.prefix(shard) + (whole ? WHOLE : ARRAY) + name;
  }

  /** Whether a part holds gangs and services. */
  static boolean isWhole(String key) {
    return key.charAt(Slice.prefix(Slice.shardOf(key)).length()) == WHOLE;
  }

  /** Into how many pieces a part of the first version is split. */
  int partSplit() {
    return partSplit.getAsInt();
  }

  /** Whether records may be written in the compact form, which the first version can't read. */
  boolean compact() {
    return partSplit.getAsInt() > 1;
  }
}
