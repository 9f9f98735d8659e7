package gladeknot.json;

import java.util.Map;

/**
 * Reads fields of received JSON objects that have to be of a certain form. What a sender is told of
 * a violation differs between the interfaces, so the callers bring the text.
 */
public final class StrictFields {
  private StrictFields() {}

  /** A text that is not empty; fails with the given requirement if it is missing or another. */
  public static String text(Map<String, Object> object, String name, String requirement)
      throws InvalidFieldException {
    String value = Json.text(object, name);
    if (value == null || value.isEmpty()) {
      throw new InvalidFieldException(name, requirement);
    }
    return value;
  }

  /** The same with a greatest length in characters. */
  public static String text(
      Map<String, Object> object, String name, int maxLength, String requirement)
      throws InvalidFieldException {
    String value = text(object, name, requirement);
    if (value.length() > maxLength) {
      throw new InvalidFieldException(name, requirement);
    }
    return value;
  }

  /** A whole number of 0 or more; one written with a fraction is none. */
  public static long wholeNumber(Map<String, Object> object, String name, String requirement)
      throws InvalidFieldException {
    if (!(object.get(name) instanceof Number number)
        || number instanceof Double
        || number.longValue() < 0) {
      throw new InvalidFieldException(name, requirement);
    }
    return number.longValue();
  }
}
