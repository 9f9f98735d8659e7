package gladeknot.json;

/**
 * Makes names from outside fit texts whose fields are separated by vertical bars. Escaping can be
 * reversed, so that two names never become the same field.
 */
public final class FieldEscaper {
  private static final String SEPARATOR = "|";
  private static final String ESCAPED_SEPARATOR = "%7C";
  private static final String ESCAPE = "%";
  private static final String ESCAPED_ESCAPE = "%25";

  private FieldEscaper() {}

  /** Returns whether a name can't be a field as it is. */
  public static boolean isNeededFor(String name) {
    return name.contains(SEPARATOR);
  }

  /** Returns a name without the separator. */
  public static String escape(String name) {
    return name.replace(ESCAPE, ESCAPED_ESCAPE).replace(SEPARATOR, ESCAPED_SEPARATOR);
  }

  /** Returns the name that {@link #escape} was given. */
  public static String unescape(String field) {
    return field.replace(ESCAPED_SEPARATOR, SEPARATOR).replace(ESCAPED_ESCAPE, ESCAPE);
  }
}
