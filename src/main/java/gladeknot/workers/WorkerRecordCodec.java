package gladeknot.workers;

import gladeknot.state.StateStore;

/**
 * Where the state store holds machines, and in which form: {@code
 * shard|type|zone|s-or-o|launched|x-or-nothing}. Neighbouring versions read each other's records.
 */
public final class WorkerRecordCodec {
  /** What the keys of all machines begin with. */
  public static final String KEY_PREFIX = StateStore.ROOT + "w/";

  /**
   * Stored for a machine that was released: its name is never assigned again, but late messages in
   * its name may still arrive.
   */
  public static final String RELEASED = "-";

  private static final String KEY_SUFFIX = "-";
  private static final String SEPARATOR = "|";
  private static final String SEPARATOR_PATTERN = "\\|";
  private static final String SPOT = "s";
  private static final String ON_DEMAND = "o";
  private static final String TERMINATING = "x";

  private WorkerRecordCodec() {}

  /**
   * The key that holds a machine. Machines whose names differ in the last character alone share a
   * key, so that a scale-out, which assigns consecutive names, takes few writes. The key does not
   * depend on the shard, so that no two shards can both register a machine.
   */
  public static String key(String host) {
    return KEY_PREFIX + host.substring(0, host.length() - 1) + KEY_SUFFIX;
  }

  /** The field of {@link #key} that holds a machine. */
  public static String field(String host) {
    return host.substring(host.length() - 1);
  }

  /** The machine that a field of a key holds. */
  static String host(String key, String field) {
    return key.substring(KEY_PREFIX.length(), key.length() - KEY_SUFFIX.length()) + field;
  }

  /** The stored form of a record. */
  public static String encode(WorkerRecord worker) {
    return worker.shard()
        + SEPARATOR
        + worker.type()
        + SEPARATOR
        + worker.zone()
        + SEPARATOR
        + (worker.spot() ? SPOT : ON_DEMAND)
        + SEPARATOR
        + worker.launchedWallMicros()
        + SEPARATOR
        + (worker.terminating() ? TERMINATING : "");
  }

  /** Reads a record in its stored form, which must not be {@link #RELEASED}. */
  static WorkerRecord decode(String stored) {
    String[] parts = stored.split(SEPARATOR_PATTERN, -1);
    return new WorkerRecord(
        Integer.parseInt(parts[0]),
        parts[1],
        parts[2],
        parts[3].equals(SPOT),
        Long.parseLong(parts[4]),
        parts[5].equals(TERMINATING));
  }
}
