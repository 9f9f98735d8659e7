package gladeknot.state;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Keys that contain a name from outside, such as the name of a team. The state service takes keys
 * of 1 to 200 bytes without spaces, and the names in the settings have no such limits.
 *
 * <p>A name that fits a key as it is forms the key {@code g/KIND/NAME}, as in all versions. Any
 * other name is escaped, or replaced by its SHA-256 digest if the escaped form is too long. Both
 * have prefixes of their own, which no key of the first form begins with. Two names therefore never
 * share a key: escaping can be reversed, and no two texts with the same SHA-256 digest are known.
 */
public final class NamedKeys {
  /** Maximum size of a key in the state service, in bytes of UTF-8. */
  static final int MAX_KEY_BYTES = 200;

  private static final String ESCAPED_SUFFIX = "-escaped/";
  private static final String DIGEST_SUFFIX = "-digest/";

  /** Maximum number of bytes of a UTF-16 code unit in UTF-8. */
  private static final int MAX_BYTES_PER_UNIT = 3;

  private final String commonPrefix;
  private final String plainPrefix;
  private final String escapedPrefix;
  private final String digestPrefix;

  /**
   * Creates the keys of one kind of record.
   *
   * @param kind a word of ASCII letters that no other kind of record uses
   */
  public NamedKeys(String kind) {
    this.commonPrefix = StateStore.ROOT + kind;
    this.plainPrefix = commonPrefix + "/";
    this.escapedPrefix = commonPrefix + ESCAPED_SUFFIX;
    this.digestPrefix = commonPrefix + DIGEST_SUFFIX;
  }

  /** Returns the longest prefix that the keys of all names have in common. */
  public String commonPrefix() {
    return commonPrefix;
  }

  /** Returns the key of the record for a name, which may be any text that is not empty. */
  public String key(String name) {
    if (isPlain(name) && fits(plainPrefix + name)) {
      return plainPrefix + name;
    }
    String escapedKey = escapedPrefix + escape(name);
    return fits(escapedKey) ? escapedKey : digestPrefix + Hashing.sha256().hashUnencodedChars(name);
  }

  private static boolean fits(String key) {
    return key.length() * MAX_BYTES_PER_UNIT <= MAX_KEY_BYTES
        || key.getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES;
  }

  /** Returns whether a name consists of characters that every key may contain. */
  private static boolean isPlain(String name) {
    for (int i = 0; i < name.length(); i++) {
      if (!isPrintableAscii(name.charAt(i))) {
        return name.codePoints().noneMatch(NamedKeys::isUnsafe);
      }
    }
    return true;
  }

  private static boolean isPrintableAscii(int codePoint) {
    return codePoint > ' ' && codePoint <= '~';
  }

  private static boolean isUnsafe(int codePoint) {
    return Character.isWhitespace(codePoint)
        || Character.isSpaceChar(codePoint)
        || Character.isISOControl(codePoint)
        || Character.getType(codePoint) == Character.SURROGATE;
  }

  /** Replaces each UTF-16 code unit other than ASCII letters and digits by = and four digits. */
  private static String escape(String name) {
    StringBuilder escaped = new StringBuilder();
    for (int i = 0; i < name.length(); i++) {
      char unit = name.charAt(i);
      if (isAsciiLetterOrDigit(unit)) {
        escaped.append(unit);
      } else {
        escaped.append(String.format("=%04x", (int) unit));
      }
    }
    return escaped.toString();
  }

  private static boolean isAsciiLetterOrDigit(char unit) {
    return (unit >= 'a' && unit <= 'z')
        || (unit >= 'A' && unit <= 'Z')
        || (unit >= '0' && unit <= '9');
  }
}
