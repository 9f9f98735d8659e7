package gladeknot.workers;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;

/** The images that a machine has, as far as its heartbeats and its type's cache size tell. */
final class ImageCache {
  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** Sizes in GB by image, the one used most recently last. */
  private final LinkedHashMap<String, Double> sizes =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /** Records that an image is used, and evicts those used longest ago if they don't fit. */
  void use(String image, double imageGb, double cacheGb) {
    Double known = sizes.put(image, imageGb);
    if (known != null && known == imageGb) {
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

  /** The images, the one used most recently last; a view that follows later changes. */
  Collection<String> images() {
    return sizes.keySet();
  }
}
