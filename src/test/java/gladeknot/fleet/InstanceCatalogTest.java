package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.TestMachineTypes;
import gladeknot.workers.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the catalogue's offerings and their backoff after refusals and outages. */
class InstanceCatalogTest {
  private static final long NOW_MICROS = 1_000_000;

  private static MachineType type(String name, double price, String... zones) {
    return TestMachineTypes.inThousandths(
        name, 4000, 0, 16_000, 40, 0.5, price, 0.1, 10_000_000, List.of(zones));
  }

  private static InstanceCatalog catalog() {
    InstanceCatalog catalog = new InstanceCatalog();
    catalog.update(List.of(type("small", 0.2, "b", "a"), type("large", 0.8, "a", "c")), 0);
    return catalog;
  }

  @Test
  void offeringsKeepListOrderWithSpotFirst() {
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
  void isUnknownUntilTypesAreListed() {
    InstanceCatalog catalog = new InstanceCatalog();
    assertFalse(catalog.isKnown());
    assertFalse(catalog.anyAvailable(NOW_MICROS));
    catalog.update(List.of(type("small", 0.2, "a")), 0);
    assertTrue(catalog.isKnown());
    assertTrue(catalog.anyAvailable(NOW_MICROS));
  }

  @Test
  void backoffSurvivesNewListAndPricesAreUpdated() {
    InstanceCatalog catalog = catalog();
    InstanceOffering refused = List.copyOf(catalog.offerings()).get(1);
    refused.onRefused(NOW_MICROS);
    catalog.update(List.of(type("small", 0.3, "b")), 0);
    InstanceOffering listed = List.copyOf(catalog.offerings()).get(1);
    assertEquals(0.3, listed.price());
    assertFalse(listed.isAvailable(NOW_MICROS + 9_999_999));
    assertTrue(listed.isAvailable(NOW_MICROS + 10_000_000));
  }

  @Test
  void backoffDoublesOnceAndEndsWhenRequestIsFulfilled() {
    InstanceOffering offering = new InstanceOffering(type("small", 0.2, "a"), "a", false);
    offering.onRefused(NOW_MICROS);
    assertTrue(offering.isAvailable(NOW_MICROS + 10_000_000));
    for (int i = 0; i < 3; i++) {
      offering.onRefused(NOW_MICROS);
      assertFalse(offering.isAvailable(NOW_MICROS + 19_999_999));
      assertTrue(offering.isAvailable(NOW_MICROS + 20_000_000));
    }
    offering.onFulfilled();
    assertTrue(offering.isAvailable(NOW_MICROS));
  }

  @Test
  void backoffAfterOutageIsShortAndCountsAsOneRefusal() {
    InstanceOffering offering = new InstanceOffering(type("small", 0.2, "a"), "a", false);
    offering.onOutage(NOW_MICROS);
    assertFalse(offering.isAvailable(NOW_MICROS + 2_999_999));
    assertTrue(offering.isAvailable(NOW_MICROS + 3_000_000));
    offering.onRefused(NOW_MICROS);
    assertFalse(offering.isAvailable(NOW_MICROS + 19_999_999));
    assertTrue(offering.isAvailable(NOW_MICROS + 20_000_000));
  }
}
