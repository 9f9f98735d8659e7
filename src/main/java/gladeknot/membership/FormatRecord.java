package gladeknot.membership;

/**
 * The stored mark of the format that all members use.
 *
 * @param format the storage format
 * @param segmentSplit how many segments each of the first version's segments is split into; above 0
 */
record FormatRecord(int format, int segmentSplit) {}
