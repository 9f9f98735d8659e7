package gladeknot.tasks;

import com.google.common.base.Strings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * The stored form of a slice's attempts: text, in one of two forms.
 *
 * <p>The plain form, which every version reads, is {@code task:number:host}, separated by commas.
 * The compact form is {@code ~PREFIX:WIDTH:DATA}: the hosts' common name up to its last digits, how
 * many digits follow, and in Base64 for each attempt the differences of task, number and host from
 * the attempt before it, as numbers of variable length.
 */
final class AttemptCodec {
  /** One attempt as it is stored. */
  record StoredAttempt(int task, long number, String host) {}

  private static final char COMPACT = '~';
  private static final int BITS = 7;
  private static final int MASK = (1 << BITS) - 1;

  /** So many digits always fit a long. */
  private static final int MAX_DIGITS = 18;

  private AttemptCodec() {}

  /** The plain form. */
  static String plain(List<StoredAttempt> attempts) {
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
   * The compact form, or the plain one where that is shorter or the hosts' names differ in more
   * than their numbers.
   */
  static String compact(List<StoredAttempt> attempts) {
    String plain = plain(attempts);
    if (attempts.isEmpty()) {
      return plain;
    }
    String first = attempts.get(0).host();
    int digits = digits(first);
    String prefix = first.substring(0, first.length() - digits);
    boolean sameNaming =
        digits > 0
            && prefix.indexOf(':') < 0
            && prefix.indexOf('|') < 0
            && attempts.stream()
                .map(StoredAttempt::host)
                .allMatch(
                    host ->
                        host.length() == first.length()
                            && host.startsWith(prefix)
                            && digits(host) == digits);
    if (!sameNaming) {
      return plain;
    }
    String compact = COMPACT + prefix + ":" + digits + ":" + data(attempts, prefix.length());
    return compact.length() < plain.length() ? compact : plain;
  }

  private static String data(List<StoredAttempt> attempts, int prefixLength) {
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

  /** Reads either form. */
  static List<StoredAttempt> read(String text) {
    if (text.isEmpty()) {
      return List.of();
    }
    return text.charAt(0) == COMPACT ? readCompact(text) : readPlain(text);
  }

  private static List<StoredAttempt> readPlain(String text) {
    List<StoredAttempt> attempts = new ArrayList<>();
    for (String attempt : text.split(",")) {
      String[] fields = attempt.split(":", 3);
      attempts.add(
          new StoredAttempt(Integer.parseInt(fields[0]), Long.parseLong(fields[1]), fields[2]));
    }
    return attempts;
  }

  private static List<StoredAttempt> readCompact(String text) {
    String[] fields = text.substring(1).split(":", 3);
    int digits = Integer.parseInt(fields[1]);
    ByteArrayInputStream in = new ByteArrayInputStream(Base64.getDecoder().decode(fields[2]));
    List<StoredAttempt> attempts = new ArrayList<>();
    long task = 0;
    long number = 0;
    long host = 0;
    while (in.available() > 0) {
      task += readVarint(in);
      number += readVarint(in);
      host += readVarint(in);
      String name = fields[0] + Strings.padStart(Long.toString(host), digits, '0');
      attempts.add(new StoredAttempt((int) task, number, name));
    }
    return attempts;
  }

  /** How many digits a name ends with. */
  private static int digits(String name) {
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

  /** Writes a number in zigzag encoding, small ones of either sign in few bytes. */
  private static void writeVarint(ByteArrayOutputStream out, long value) {
    long rest = (value << 1) ^ (value >> 63);
    while ((rest & ~MASK) != 0) {
      out.write((int) (rest & MASK) | (MASK + 1));
      rest >>>= BITS;
    }
    out.write((int) rest);
  }

  private static long readVarint(ByteArrayInputStream in) {
    long value = 0;
    int shift = 0;
    int next;
    do {
      next = in.read();
      if (next < 0) {
        throw new IllegalArgumentException("attempts are cut short");
      }
      value |= (long) (next & MASK) << shift;
      shift += BITS;
    } while (next > MASK);
    return (value >>> 1) ^ -(value & 1);
  }
}
