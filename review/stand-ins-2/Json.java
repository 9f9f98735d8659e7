package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. Integers are Long. */
final class Json {
  private final String s;
  private int i;

  private Json(String s) {
    this.s = s;
  }

  static Object parse(String text) {
    Json p = new Json(text);
    Object value = p.value();
    p.space();
    if (p.i != text.length()) {
      throw new IllegalArgumentException("text after the value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Object value = text.isEmpty() ? null : parse(text);
    if (!(value instanceof Map)) {
      throw new IllegalArgumentException("not an object");
    }
    return (Map<String, Object>) value;
  }

  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int k = 0; k < pairs.length; k += 2) {
      map.put((String) pairs[k], pairs[k + 1]);
    }
    return map;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> list(Map<String, Object> map, String name) {
    Object value = map.get(name);
    return value == null ? List.of() : (List<Map<String, Object>>) value;
  }

  static long number(Map<String, Object> map, String name, long otherwise) {
    return map.get(name) instanceof Number n ? n.longValue() : otherwise;
  }

  static double decimal(Map<String, Object> map, String name) {
    return map.get(name) instanceof Number n ? n.doubleValue() : 0;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      char before = '{';
      if (map.isEmpty()) {
        out.append('{');
      }
      for (Map.Entry<?, ?> e : map.entrySet()) {
        out.append(before);
        write(e.getKey(), out);
        out.append(':');
        write(e.getValue(), out);
        before = ',';
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      for (int k = 0; k < list.size(); k++) {
        if (k > 0) {
          out.append(',');
        }
        write(list.get(k), out);
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"');
      for (char c : text.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < 32) {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  private void space() {
    while (i < s.length() && Character.isWhitespace(s.charAt(i))) {
      i++;
    }
  }

  private IllegalArgumentException bad() {
    return new IllegalArgumentException("not JSON at " + i);
  }

  private Object value() {
    space();
    if (i >= s.length()) {
      throw bad();
    }
    char c = s.charAt(i);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      i++;
      space();
      if (s.charAt(i) == '}') {
        i++;
        return map;
      }
      while (true) {
        space();
        String key = string();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (s.charAt(i++) == '}') {
          return map;
        }
        if (s.charAt(i - 1) != ',') {
          throw bad();
        }
      }
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      i++;
      space();
      if (s.charAt(i) == ']') {
        i++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (s.charAt(i++) == ']') {
          return list;
        }
        if (s.charAt(i - 1) != ',') {
          throw bad();
        }
      }
    }
    if (c == '"') {
      return string();
    }
    for (String word : new String[] {"true", "false", "null"}) {
      if (s.startsWith(word, i)) {
        i += word.length();
        return word.equals("null") ? null : (Object) word.equals("true");
      }
    }
    int from = i;
    while (i < s.length() && "+-.eE0123456789".indexOf(s.charAt(i)) >= 0) {
      i++;
    }
    String number = s.substring(from, i);
    if (number.isEmpty()) {
      throw bad();
    }
    return number.matches("-?[0-9]{1,18}") ? (Object) Long.parseLong(number) : Double.valueOf(number);
  }

  private void expect(char c) {
    if (s.charAt(i++) != c) {
      throw bad();
    }
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (s.charAt(i) != '"') {
      char c = s.charAt(i++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      c = s.charAt(i++);
      switch (c) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
          i += 4;
        }
        default -> out.append(c);
      }
    }
    i++;
    return out.toString();
  }
}
