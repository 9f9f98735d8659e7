package gladeknot.workers;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;

/** Images on a machine, as estimated from its heartbeats and the cache size of its machine type. */
final class ImageCache {
  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** Sizes in GB by image, the most recently used image last. */
  private final LinkedHashMap<String, Double> sizes =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Records the use of an image, and evicts the least recently used images until the remaining
   * images fit.
   */
  void use(String image, double imageGb, double cacheGb) {
    Double knownGb = sizes.put(image, imageGb);
    if (knownGb != null && knownGb == imageGb) {
      return;
    }
    double usedGb = sizes.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Double> leastRecentlyUsed = sizes.values().iterator();
    while (usedGb > cacheGb && leastRecentlyUsed.hasNext()) {
      usedGb -= leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
  }

  boolean contains(String image) {
    return sizes.containsKey(image);
  }

  /** Returns a live view of the images, the most recently used image last. */
  Collection<String> images() {
    return sizes.keySet();
  }
}
