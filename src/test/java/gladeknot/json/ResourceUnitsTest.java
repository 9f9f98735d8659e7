package gladeknot.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.BigRange;
import net.jqwik.api.constraints.Scale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a task needs is never counted as less, and what there is never as more. */
class ResourceUnitsTest {
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0",
    "32.0, 32000000000, 32000000000",
    "1.1, 1100000000, 1100000000",
    "32.000442, 32000442000, 32000442000",
    "1E-9, 1, 1",
    "0.0000000004, 1, 0",
    "1.0000000000000000000000001, 1000000001, 1000000000",
    "0.9999999999999999999999999, 1000000000, 999999999",
    "1E-999999999, 1, 0",
    "1E9, 1000000000000000000, 9007199254740991"
  })
  void amountsAreRoundedInTheSafeDirection(String amount, long needed, long available) {
    assertEquals(needed, ResourceUnits.needed(new BigDecimal(amount)));
    assertEquals(available, ResourceUnits.available(new BigDecimal(amount)));
  }

  @Test
  void hugeAmountIsTheMaximum() {
    assertEquals(
        ResourceUnits.MAX_AVAILABLE, ResourceUnits.available(new BigDecimal("1E999999999")));
    assertEquals(0, ResourceUnits.available(new BigDecimal("-1")));
  }

  @Property(tries = 2000)
  void roundedAmountsEncloseTheExactOne(
      @ForAll @BigRange(min = "0", max = "1000000") @Scale(20) BigDecimal amount) {
    BigDecimal needed = ResourceUnits.toDecimal(ResourceUnits.needed(amount));
    BigDecimal available = ResourceUnits.toDecimal(ResourceUnits.available(amount));
    assertTrue(needed.compareTo(amount) >= 0, needed + " is less than " + amount);
    assertTrue(available.compareTo(amount) <= 0, available + " is more than " + amount);
  }

  @Property(tries = 2000)
  void amountsOfNineDecimalsAreExact(
      @ForAll @BigRange(min = "0", max = "1000000") @Scale(9) BigDecimal amount) {
    long units = ResourceUnits.needed(amount);
    assertEquals(units, ResourceUnits.available(amount));
    assertEquals(0, ResourceUnits.toDecimal(units).compareTo(amount));
    long thousandths = ResourceUnits.thousandthsRoundedUp(units);
    assertTrue(ResourceUnits.ofThousandths(thousandths) >= units);
    assertTrue(ResourceUnits.ofThousandths(thousandths - 1) < units);
  }

  @Test
  void numbersOfMessagesAreReadExactly() throws IOException {
    Map<String, Object> message =
        Json.object(
            "{\"a\":1.0000000000000000000000001,\"b\":4,\"c\":\"4\",\"d\":123456789012345678901}"
                .getBytes(StandardCharsets.UTF_8));
    assertEquals(new BigDecimal("1.0000000000000000000000001"), Json.decimal(message, "a"));
    assertEquals(BigDecimal.valueOf(4), Json.decimal(message, "b"));
    assertEquals(null, Json.decimal(message, "c"));
    assertEquals(new BigDecimal("123456789012345678901"), Json.decimal(message, "d"));
  }

  @Test
  void amountsAreWrittenAsUsersWriteThem() {
    assertEquals("2.0", ResourceUnits.toDecimal(2_000_000_000L).toString());
    assertEquals("0.0", ResourceUnits.toDecimal(0).toString());
    assertEquals("32.000442", ResourceUnits.toDecimal(32_000_442_000L).toString());
    assertEquals("100.0", ResourceUnits.toDecimal(100_000_000_000L).toString());
  }
}
