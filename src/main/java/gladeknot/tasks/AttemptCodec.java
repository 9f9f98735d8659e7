package gladeknot.tasks;

import com.google.common.base.Strings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Codec for the attempts in a slice's stored record, a text in one of two forms.
 *
 * <p>The plain form, which every version reads, is {@code task:number:host}, separated by commas.
 * The compact form is {@code ~PREFIX:WIDTH:DATA}. {@code PREFIX} is the part of the host names
 * before their trailing digits, which all hosts share. {@code WIDTH} is the number of trailing
 * digits. {@code DATA} holds, in Base64, the differences in task, attempt number and host number
 * between each attempt and the attempt before it, as variable-length integers.
 */
final class AttemptCodec {
  /** An attempt in a stored record. */
  record StoredAttempt(int task, long number, String host) {}

  private static final char COMPACT_MARKER = '~';
  private static final int VARINT_GROUP_BITS = 7;
  private static final int VARINT_GROUP_MASK = (1 << VARINT_GROUP_BITS) - 1;

  /** Maximum number of trailing digits; any number of 18 digits fits a long. */
  private static final int MAX_DIGITS = 18;

  private AttemptCodec() {}

  /** Encodes attempts in the plain form. */
  static String encodePlain(List<StoredAttempt> attempts) {
    StringBuilder text = new StringBuilder();
    for (StoredAttempt attempt : attempts) {
      text.append(text.length() == 0 ? "" : ",")
          .append(attempt.task())
          .append(':')
          .append(attempt.number());
      text.append(':').append(attempt.host());
    }
    return text.toString();
  }

  /**
   * Encodes attempts in the compact form. Returns the plain form if it is no longer than the
   * compact form, or if the host names differ in more than their trailing digits.
   */
  static String encodeCompact(List<StoredAttempt> attempts) {
    String plain = encodePlain(attempts);
    if (attempts.isEmpty()) {
      return plain;
    }
    String first = attempts.get(0).host();
    int digits = trailingDigits(first);
    String prefix = first.substring(0, first.length() - digits);
    boolean commonPrefix =
        digits > 0
            && prefix.indexOf(':') < 0
            && prefix.indexOf('|') < 0
            && attempts.stream()
                .map(StoredAttempt::host)
                .allMatch(
                    host ->
                        host.length() == first.length()
                            && host.startsWith(prefix)
                            && trailingDigits(host) == digits);
    if (!commonPrefix) {
      return plain;
    }
    String compact =
        COMPACT_MARKER + prefix + ":" + digits + ":" + encodeDeltas(attempts, prefix.length());
    return compact.length() < plain.length() ? compact : plain;
  }

  private static String encodeDeltas(List<StoredAttempt> attempts, int prefixLength) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    long task = 0;
    long number = 0;
    long host = 0;
    for (StoredAttempt attempt : attempts) {
      long hostNumber = Long.parseLong(attempt.host().substring(prefixLength));
      writeVarint(out, attempt.task() - task);
      writeVarint(out, attempt.number() - number);
      writeVarint(out, hostNumber - host);
      task = attempt.task();
      number = attempt.number();
      host = hostNumber;
    }
    return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
  }

  /** Decodes attempts in either form. */
  static List<StoredAttempt> decode(String text) {
    if (text.isEmpty()) {
      return List.of();
    }
    return text.charAt(0) == COMPACT_MARKER ? decodeCompact(text) : decodePlain(text);
  }

  private static List<StoredAttempt> decodePlain(String text) {
    List<StoredAttempt> attempts = new ArrayList<>();
    for (String attempt : text.split(",")) {
      String[] fields = attempt.split(":", 3);
      attempts.add(
          new StoredAttempt(Integer.parseInt(fields[0]), Long.parseLong(fields[1]), fields[2]));
    }
    return attempts;
  }

  private static List<StoredAttempt> decodeCompact(String text) {
    String[] fields = text.substring(1).split(":", 3);
    int digits = Integer.parseInt(fields[1]);
    ByteArrayInputStream in = new ByteArrayInputStream(Base64.getDecoder().decode(fields[2]));
    List<StoredAttempt> attempts = new ArrayList<>();
    long task = 0;
    long number = 0;
    long host = 0;
    while (in.available() > 0) {
      task += readVarint(in, "task");
      number += readVarint(in, "attempt number");
      host += readVarint(in, "host number");
      String name = fields[0] + Strings.padStart(Long.toString(host), digits, '0');
      attempts.add(new StoredAttempt((int) task, number, name));
    }
    return attempts;
  }

  /** Returns the number of digits at the end of a name, at most {@link #MAX_DIGITS}. */
  private static int trailingDigits(String name) {
    int count = 0;
    while (count < Math.min(MAX_DIGITS, name.length())
        && isDigit(name.charAt(name.length() - 1 - count))) {
      count++;
    }
    return count;
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  /**
   * Writes a variable-length integer in zigzag encoding, so that small numbers of either sign take
   * few bytes.
   */
  private static void writeVarint(ByteArrayOutputStream out, long value) {
    long remaining = (value << 1) ^ (value >> 63);
    while ((remaining & ~VARINT_GROUP_MASK) != 0) {
      out.write((int) (remaining & VARINT_GROUP_MASK) | (VARINT_GROUP_MASK + 1));
      remaining >>>= VARINT_GROUP_BITS;
    }
    out.write((int) remaining);
  }

  private static long readVarint(ByteArrayInputStream in, String name) {
    long value = 0;
    int shift = 0;
    int next;
    do {
      next = in.read();
      if (next < 0) {
        throw new IllegalArgumentException(
            "attempt data ends in an incomplete "
                + name
                + " difference of "
                + shift / VARINT_GROUP_BITS
                + " bytes: its last byte must be at most "
                + VARINT_GROUP_MASK);
      }
      value |= (long) (next & VARINT_GROUP_MASK) << shift;
      shift += VARINT_GROUP_BITS;
    } while (next > VARINT_GROUP_MASK);
    return (value >>> 1) ^ -(value & 1);
  }
}
