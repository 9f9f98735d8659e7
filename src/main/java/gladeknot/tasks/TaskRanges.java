package gladeknot.tasks;

import java.util.BitSet;

/** Sets of task numbers as text such as "0-4,7". */
final class TaskRanges {
  private TaskRanges() {}

  static String text(BitSet set) {
    StringBuilder out = new StringBuilder();
    for (int from = set.nextSetBit(0); from >= 0; ) {
      int to = set.nextClearBit(from) - 1;
      if (out.length() > 0) {
        out.append(',');
      }
      out.append(from);
      if (to > from) {
        out.append('-').append(to);
      }
      from = set.nextSetBit(to + 1);
    }
    return out.toString();
  }

  static BitSet parse(String text) {
    BitSet set = new BitSet();
    if (text == null || text.isEmpty()) {
      return set;
    }
    for (String part : text.split(",")) {
      int dash = part.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(part.substring(dash + 1));
      set.set(from, to + 1);
    }
    return set;
  }
}
