package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Eviction of images from a machine's cache. */
class ImageCacheTest {
  @Test
  void evictsLeastRecentlyUsedImage() {
    ImageCache cache = new ImageCache();
    cache.use("a", 4, 10);
    cache.use("b", 4, 10);
    cache.use("a", 4, 10);
    assertEquals(List.of("b", "a"), List.copyOf(cache.images()));
    cache.use("c", 4, 10);
    assertFalse(cache.contains("b"));
    assertEquals(List.of("a", "c"), List.copyOf(cache.images()));
  }

  @Test
  void imageLargerThanCacheEvictsAllImages() {
    ImageCache cache = new ImageCache();
    cache.use("a", 4, 10);
    cache.use("b", 11, 10);
    assertTrue(cache.images().isEmpty());
  }
}
