package gladeknot.tasks;

import java.util.BitSet;

/** Codec for sets of task numbers as text such as "0-4,7". */
final class TaskRanges {
  private TaskRanges() {}

  /** Returns the text of a set. */
  static String text(BitSet tasks) {
    StringBuilder text = new StringBuilder();
    for (int from = tasks.nextSetBit(0); from >= 0; ) {
      int to = tasks.nextClearBit(from) - 1;
      if (text.length() > 0) {
        text.append(',');
      }
      text.append(from);
      if (to > from) {
        text.append('-').append(to);
      }
      from = tasks.nextSetBit(to + 1);
    }
    return text.toString();
  }

  /** Parses the text of a set; the set is empty if the text is null or empty. */
  static BitSet parse(String text) {
    BitSet tasks = new BitSet();
    if (text == null || text.isEmpty()) {
      return tasks;
    }
    for (String range : text.split(",")) {
      int dash = range.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(range.substring(dash + 1));
      tasks.set(from, to + 1);
    }
    return tasks;
  }
}
