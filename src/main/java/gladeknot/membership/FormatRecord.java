package gladeknot.membership;

/**
 * The stored storage format, which all members use.
 *
 * @param format the storage format
 * @param segmentSplit number of segments that each segment of the first version's layout is split
 *     into; above 0
 */
record FormatRecord(int format, int segmentSplit) {
  /** The format of the first version, which stores none. */
  static final FormatRecord FIRST = new FormatRecord(1, 1);
}
