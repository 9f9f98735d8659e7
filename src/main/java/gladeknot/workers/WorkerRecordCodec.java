package gladeknot.workers;

import gladeknot.json.FieldEscaper;
import gladeknot.state.StateStore;

/**
 * Keys and stored form of machine records. The stored form is {@code
 * shard|type|zone|s-or-o|launched|x-or-nothing}. If the type or the zone contains the separator,
 * both are escaped and a field {@code e} follows. Adjacent versions read each other's records.
 */
public final class WorkerRecordCodec {
  /** Prefix of the keys of all machine records. */
  public static final String KEY_PREFIX = StateStore.ROOT + "w/";

  /**
   * Value stored for a released machine. The machine's name is never assigned again, but delayed
   * messages from the machine may still arrive.
   */
  public static final String RELEASED = "-";

  private static final String KEY_SUFFIX = "-";
  private static final String SEPARATOR = "|";
  private static final String SEPARATOR_PATTERN = "\\|";
  private static final String SPOT = "s";
  private static final String ON_DEMAND = "o";
  private static final String TERMINATING = "x";
  private static final String ESCAPED = "e";
  private static final int PLAIN_FIELDS = 6;

  private WorkerRecordCodec() {}

  /**
   * Returns the key that holds a machine's record. Machines whose names differ only in the last
   * character share a key. A scale-out, which assigns consecutive names, therefore takes few
   * writes. The key does not depend on the shard, so that two shards can't both register a machine.
   */
  public static String key(String host) {
    return KEY_PREFIX + host.substring(0, host.length() - 1) + KEY_SUFFIX;
  }

  /** Returns the field of {@link #key} that holds a machine's record. */
  public static String field(String host) {
    return host.substring(host.length() - 1);
  }

  /** Returns the name of the machine whose record a field of a key holds. */
  static String host(String key, String field) {
    return key.substring(KEY_PREFIX.length(), key.length() - KEY_SUFFIX.length()) + field;
  }

  /** Returns the stored form of a record. */
  public static String encode(WorkerRecord worker) {
    boolean escaped =
        FieldEscaper.isNeededFor(worker.type()) || FieldEscaper.isNeededFor(worker.zone());
    return worker.shard()
        + SEPARATOR
        + (escaped ? FieldEscaper.escape(worker.type()) : worker.type())
        + SEPARATOR
        + (escaped ? FieldEscaper.escape(worker.zone()) : worker.zone())
        + SEPARATOR
        + (worker.spot() ? SPOT : ON_DEMAND)
        + SEPARATOR
        + worker.launchedWallMicros()
        + SEPARATOR
        + (worker.terminating() ? TERMINATING : "")
        + (escaped ? SEPARATOR + ESCAPED : "");
  }

  /** Decodes a record from its stored form, which must not be {@link #RELEASED}. */
  static WorkerRecord decode(String stored) {
    String[] parts = stored.split(SEPARATOR_PATTERN, -1);
    boolean escaped = parts.length > PLAIN_FIELDS && parts[PLAIN_FIELDS].equals(ESCAPED);
    return new WorkerRecord(
        Integer.parseInt(parts[0]),
        escaped ? FieldEscaper.unescape(parts[1]) : parts[1],
        escaped ? FieldEscaper.unescape(parts[2]) : parts[2],
        parts[3].equals(SPOT),
        Long.parseLong(parts[4]),
        parts[5].equals(TERMINATING));
  }
}
