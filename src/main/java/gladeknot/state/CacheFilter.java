package gladeknot.state;

import java.util.List;
import java.util.Map;

/**
 * Decides which values the watch cache keeps. The cache reports the change of every key to its
 * listener, but forgets a key whose new value is not kept.
 */
public interface CacheFilter {
  /** Filter that keeps all values. */
  CacheFilter KEEP_ALL = (key, data) -> true;

  /** Returns whether the value of a key is kept. */
  boolean keeps(String key, Map<String, Object> data);

  /**
   * Returns the records that a new value refers to and that the listener does not know, each by the
   * keys under which it may be stored. They are read and reported together with the value. The
   * first of the keys is the one that is reported.
   */
  default List<List<String>> unknownReferences(String key, Map<String, Object> data) {
    return List.of();
  }
}
