package gladeknot.state;

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
}
