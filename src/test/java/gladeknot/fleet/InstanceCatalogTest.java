package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.workers.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which offerings there are, and how long one is left alone after a refusal. */
class InstanceCatalogTest {
  private static final long NOW = 1_000_000;

  private static MachineType type(String name, double price, String... zones) {
    return new MachineType(name, 4000, 0, 16_000, 40, 0.5, price, 0.1, 10_000_000, List.of(zones));
  }

  private static InstanceCatalog catalog() {
    InstanceCatalog catalog = new InstanceCatalog();
    catalog.update(List.of(type("small", 0.2, "b", "a"), type("large", 0.8, "a", "c")));
    return catalog;
  }

  @Test
  void offeringsFollowTheCloudsListSpotFirst() {
    InstanceCatalog catalog = catalog();
    assertEquals(
        List.of(
            "small/b/spot",
            "small/b/ordinary",
            "small/a/spot",
            "small/a/ordinary",
            "large/a/spot",
            "large/a/ordinary",
            "large/c/spot",
            "large/c/ordinary"),
        catalog.offerings().stream().map(InstanceOffering::toString).toList());
    assertEquals(List.of("b", "a", "c"), catalog.zones());
  }

  @Test
  void isUnknownUntilTheCloudHasListedTypes() {
    InstanceCatalog catalog = new InstanceCatalog();
    assertFalse(catalog.isKnown());
    assertFalse(catalog.anyAvailable(NOW));
    catalog.update(List.of(type("small", 0.2, "a")));
    assertTrue(catalog.isKnown());
    assertTrue(catalog.anyAvailable(NOW));
  }

  @Test
  void backOffOutlivesANewListWhilePricesAreReplaced() {
    InstanceCatalog catalog = catalog();
    InstanceOffering refused = List.copyOf(catalog.offerings()).get(1);
    refused.onRefused(NOW);
    catalog.update(List.of(type("small", 0.3, "b")));
    InstanceOffering listed = List.copyOf(catalog.offerings()).get(1);
    assertEquals(0.3, listed.price());
    assertFalse(listed.isAvailable(NOW + 9_999_999));
    assertTrue(listed.isAvailable(NOW + 10_000_000));
  }

  @Test
  void backOffDoublesOnceAndEndsWhenARequestIsFulfilled() {
    InstanceOffering offering = new InstanceOffering(type("small", 0.2, "a"), "a", false);
    offering.onRefused(NOW);
    assertTrue(offering.isAvailable(NOW + 10_000_000));
    for (int i = 0; i < 3; i++) {
      offering.onRefused(NOW);
      assertFalse(offering.isAvailable(NOW + 19_999_999));
      assertTrue(offering.isAvailable(NOW + 20_000_000));
    }
    offering.onFulfilled();
    assertTrue(offering.isAvailable(NOW));
  }

  @Test
  void backOffAfterAnOutageIsShortAndCountsAsOneRefusal() {
    InstanceOffering offering = new InstanceOffering(type("small", 0.2, "a"), "a", false);
    offering.onOutage(NOW);
    assertFalse(offering.isAvailable(NOW + 2_999_999));
    assertTrue(offering.isAvailable(NOW + 3_000_000));
    offering.onRefused(NOW);
    assertFalse(offering.isAvailable(NOW + 19_999_999));
    assertTrue(offering.isAvailable(NOW + 20_000_000));
  }
}
