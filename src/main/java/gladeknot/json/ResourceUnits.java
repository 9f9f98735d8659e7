package gladeknot.json;

import com.google.common.math.LongMath;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.RoundingMode;
import java.util.Map;

/**
 * Resource amounts as whole billionths of a CPU, a GPU or a GB. The protocols write amounts as
 * decimal numbers. Sums of amounts with up to nine decimals are exact. Of finer amounts, what a
 * task needs is rounded up, and what a machine has or a team may use is rounded down.
 */
public final class ResourceUnits {
  /** Billionths per CPU, GPU or GB. */
  public static final long PER_WHOLE = 1_000_000_000;

  /** Billionths per thousandth, the unit of the records that all versions read. */
  public static final long PER_THOUSANDTH = 1_000_000;

  /**
   * Maximum amount that a machine has or a team may use, about nine million; larger ones count as
   * this. The sum of a thousand such amounts fits a long.
   */
  public static final long MAX_AVAILABLE = Long.MAX_VALUE >> 10;

  private static final int DECIMALS = 9;

  /** Number of digits before the decimal point from which an amount exceeds the maximum. */
  private static final int MAX_INTEGER_DIGITS = 8;

  private ResourceUnits() {}

  /**
   * Returns what a task needs, rounded up.
   *
   * @param amount an amount of 0 or more
   * @throws ArithmeticException if the amount is above nine billion
   */
  public static long needed(BigDecimal amount) {
    if (isBelowOneUnit(amount)) {
      return amount.signum();
    }
    return amount.setScale(DECIMALS, RoundingMode.CEILING).unscaledValue().longValueExact();
  }

  /** Returns what a machine has or a team may use, rounded down; 0 for a negative amount. */
  public static long available(BigDecimal amount) {
    if (amount.signum() <= 0 || isBelowOneUnit(amount)) {
      return 0;
    }
    if (integerDigits(amount) > MAX_INTEGER_DIGITS) {
      return MAX_AVAILABLE;
    }
    BigInteger units = amount.setScale(DECIMALS, RoundingMode.FLOOR).unscaledValue();
    return Math.min(MAX_AVAILABLE, units.longValueExact());
  }

  /** Returns what a machine has according to a field of a message; 0 if the field is absent. */
  public static long available(Map<String, Object> message, String field) {
    BigDecimal amount = Json.decimal(message, field);
    return amount == null ? 0 : available(amount);
  }

  /**
   * Returns an upper bound for the number of digits before the decimal point; below 0 if zeros
   * follow the point. Numbers with a huge exponent must be recognized before they are rescaled.
   */
  private static long integerDigits(BigDecimal amount) {
    return (long) amount.precision() - amount.scale();
  }

  private static boolean isBelowOneUnit(BigDecimal amount) {
    return amount.signum() == 0 || integerDigits(amount) <= -DECIMALS;
  }

  /** Returns an amount as a decimal number of CPUs, GPUs or GB, with at least one decimal. */
  public static BigDecimal toDecimal(long units) {
    BigDecimal exact = BigDecimal.valueOf(units, DECIMALS).stripTrailingZeros();
    return exact.scale() < 1 ? exact.setScale(1) : exact;
  }

  /** Returns an amount as a floating-point number of CPUs, GPUs or GB, for display. */
  public static double toDouble(long units) {
    return (double) units / PER_WHOLE;
  }

  /** Returns an amount in thousandths, rounded up. */
  public static long thousandthsRoundedUp(long units) {
    return -Math.floorDiv(-units, PER_THOUSANDTH);
  }

  /** Returns an amount given in thousandths; at most {@link Long#MAX_VALUE}. */
  public static long ofThousandths(long thousandths) {
    return LongMath.saturatedMultiply(thousandths, PER_THOUSANDTH);
  }
}
