package gladeknot.state;

import gladeknot.settings.Settings;

/**
 * The current size limits of transactions and values, for all writers to the state service.
 *
 * <p>The settings contain the current limits and the limits that will apply some time after an
 * upgrade. The smaller of both are used once all members are known to run this version, or once the
 * service has rejected a transaction because of its size.
 */
public final class TransactionLimits {
  /** Maximum number of preconditions per operation of a transaction, set by the protocol. */
  private static final int PRECONDITIONS_PER_OPERATION = 4;

  /**
   * Maximum size of the values in a transaction. The remainder of the protocol's 64 KiB is left for
   * preconditions and the JSON structure.
   */
  private static final int MAX_TRANSACTION_BYTES = 40_000;

  /** Lower bound for the operations of a transaction: a claim changes two keys. */
  private static final int MIN_OPERATIONS = 2;

  private final Settings.StateLimits current;
  private final Settings.StateLimits smaller;
  private boolean useSmaller;

  /** Creates limits from the settings; the current limits are in force. */
  public TransactionLimits(Settings settings) {
    current = settings.stateLimits();
    smaller = current.smaller(settings.nextStateLimits());
  }

  /**
   * Applies the smaller limits because all members run this version: all values written from now on
   * must fit the future limits.
   */
  public void onAllMembersUpgraded() {
    useSmaller = true;
  }

  /** Applies the smaller limits because the service has rejected a transaction as too large. */
  public void onSizeRejection() {
    useSmaller = true;
  }

  private Settings.StateLimits inForce() {
    return useSmaller ? smaller : current;
  }

  /** Returns the maximum size of a value, in bytes. */
  public int maxValueBytes() {
    return inForce().valueBytes();
  }

  /** Returns the maximum number of puts and deletes in one transaction. */
  public int maxOperations() {
    return Math.max(MIN_OPERATIONS, inForce().maxTransactionOperations());
  }

  /**
   * Returns the maximum number of preconditions of a transaction with at most the given number of
   * operations.
   */
  public int maxPreconditions(int operations) {
    return PRECONDITIONS_PER_OPERATION * operations;
  }

  /** Returns the maximum size of all values in one transaction, in bytes. */
  public int maxTransactionBytes() {
    return MAX_TRANSACTION_BYTES;
  }

  /** Returns the maximum rate of puts and deletes of all controllers, per second. */
  public double writesPerSecond() {
    return inForce().writesPerSecond();
  }

  /**
   * Returns the number of keys that can hold, under the future limits, what one key holds under the
   * current limits.
   */
  public int targetSegmentSplit() {
    return (current.valueBytes() + smaller.valueBytes() - 1) / smaller.valueBytes();
  }
}
