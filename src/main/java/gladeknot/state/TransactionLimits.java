package gladeknot.state;

import gladeknot.settings.Settings;

/**
 * What a transaction and a value may hold at present, for all who write to the state service.
 *
 * <p>The settings name the limits that are in force and those that will be at some moment after an
 * upgrade. The smaller of both count once all members are known to run this version, or once the
 * service has refused something for its size.
 */
public final class TransactionLimits {
  /** The protocol's conditions for each change that a transaction may hold. */
  private static final int CONDITIONS_A_CHANGE = 4;

  /** Of the protocol's 64 KiB a transaction, some are left to conditions and JSON. */
  private static final int MAX_BYTES = 40_000;

  /** A claim changes two keys, so that fewer make no sense. */
  private static final int MIN_OPERATIONS = 2;

  private final Settings.StateLimits present;
  private final Settings.StateLimits smaller;
  private boolean lowered;

  /** The limits as the settings name them; the present ones are in force. */
  public TransactionLimits(Settings settings) {
    present = settings.stateLimits();
    smaller = present.smaller(settings.nextStateLimits());
  }

  /** All members run this version: whatever is written from now on must fit the limits to come. */
  public void onAllMembersUpgraded() {
    lowered = true;
  }

  /** The service has called something too large. */
  public void onSizeRejection() {
    lowered = true;
  }

  private Settings.StateLimits inForce() {
    return lowered ? smaller : present;
  }

  /** The largest value, in bytes. */
  public int maxValueBytes() {
    return inForce().valueBytes();
  }

  /** The most puts and deletes in one transaction. */
  public int maxOperations() {
    return Math.max(MIN_OPERATIONS, inForce().txnOps());
  }

  /** The most conditions in one transaction of that many operations at most. */
  public int maxPreconditions(int operations) {
    return CONDITIONS_A_CHANGE * operations;
  }

  /** The bytes of values that one transaction may hold. */
  public int maxTransactionBytes() {
    return MAX_BYTES;
  }

  /** Puts and deletes a second. */
  public double writesPerSecond() {
    return inForce().writeRps();
  }

  /** How many times as many keys hold the same under the limits to come. */
  public int targetSegmentSplit() {
    return (present.valueBytes() + smaller.valueBytes() - 1) / smaller.valueBytes();
  }
}
