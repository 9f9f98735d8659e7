package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import gladeknot.settings.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rules by which a controller weighs things: the shipped ones, an operators' file over them.
 */
public final class Policy {
  private static final Logger LOG = LoggerFactory.getLogger(Policy.class);
  private static final String SHIPPED = "/gladeknot/policy/default.policy";

  /** What can be set, with the range that a result is kept in. */
  public enum Name {
    STATE_LEASE(Type.DURATION, 1, 60),
    FILL(Type.NUMBER, 0.2, 5),
    FILL_WITH_SLACK(Type.NUMBER, 0.2, 5),
    SPREAD(Type.NUMBER, 0, 10),
    SERVICE_AHEAD(Type.DURATION, 0, 3600),
    WINDOW(Type.DURATION, 10, 3600),
    IDLE_KEEP(Type.DURATION, 0, 86400),
    REPLICA_WAIT(Type.DURATION, 0, 3600),
    PATIENCE(Type.DURATION, 0, 86400),
    DEAR(Type.NUMBER, 0, 1000),
    STARVE_AFTER(Type.DURATION, 0, 86400),
    CLAIM_AFTER(Type.DURATION, 0, 60),
    STOP_AFTER(Type.DURATION, 0, 600),
    STOP_EQUAL_AFTER(Type.DURATION, 0, 600),
    HASTE(Type.NUMBER, 0, 1),
    LAST_CALL(Type.NUMBER, 0, 1),
    YOUNG(Type.DURATION, 0, 86400);

    private final Type type;
    private final double least;
    private final double most;

    Name(Type type, double least, double most) {
      this.type = type;
      this.least = least;
      this.most = most;
    }

    String text() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  private static final Map<String, Type> VARIABLES =
      Map.of(
          "lease_s", Type.DURATION,
          "cancel_s", Type.DURATION,
          "report_s", Type.DURATION,
          "members", Type.NUMBER,
          "machines", Type.NUMBER,
          "waiting_tasks", Type.NUMBER);

  private final Map<Name, Expression> shipped = new EnumMap<>(Name.class);
  private final Map<Name, Expression> own = new EnumMap<>(Name.class);
  private final Map<String, Double> variables = new HashMap<>();
  private final Map<Name, Double> values = new EnumMap<>(Name.class);
  private final Set<Name> told = new HashSet<>();

  private Policy(Map<String, Expression> shipped, Map<String, Expression> own) {
    for (Name name : Name.values()) {
      this.shipped.put(name, shipped.get(name.text()));
      if (own.containsKey(name.text())) {
        this.own.put(name, own.get(name.text()));
      }
    }
  }

  private static PolicyParser parser() {
    Map<String, Type> settable = new HashMap<>();
    for (Name name : Name.values()) {
      settable.put(name.text(), name.type);
    }
    return new PolicyParser(settable, VARIABLES);
  }

  private static Map<String, Expression> parseShipped() {
    try (InputStream in = Policy.class.getResourceAsStream(SHIPPED)) {
      return parser().parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The faults of a file, each with line and column. */
  public static List<String> check(Path file) {
    PolicyParser parser = parser();
    try {
      parser.parse(Files.readString(file));
    } catch (IOException e) {
      return List.of("can't be read: " + e.getMessage());
    }
    return parser.faults().stream().map(PolicyParser.Fault::toString).toList();
  }

  /** The shipped rules, with those of a file that has no faults over them; null: none. */
  public static Policy load(Path file) throws IOException {
    String text = file == null ? "" : Files.readString(file);
    return of(text);
  }

  /** The shipped rules, with those of a text over them. */
  public static Policy of(String text) {
    PolicyParser parser = parser();
    Map<String, Expression> own = parser.parse(text);
    if (!parser.faults().isEmpty()) {
      throw new IllegalArgumentException(parser.faults().toString());
    }
    return new Policy(parseShipped(), own);
  }

  /** Sets what stays the same for a life. */
  public void settings(Settings s) {
    variables.put("lease_s", s.workers().leaseMicros() / 1e6);
    variables.put("cancel_s", s.workers().cancelMicros() / 1e6);
    variables.put("report_s", s.workers().heartbeatMicros() / 1e6);
    variables.put("members", (double) s.nodes().size());
    values.clear();
  }

  /** Sets what changes. */
  public void load(int machines, int waitingTasks) {
    variables.put("machines", (double) machines);
    variables.put("waiting_tasks", (double) waitingTasks);
    values.clear();
  }

  /** A number, or a duration in seconds. */
  public double number(Name name) {
    return values.computeIfAbsent(name, this::eval);
  }

  /** A duration. */
  public long micros(Name name) {
    return (long) (number(name) * 1e6);
  }

  private double eval(Name name) {
    Expression mine = own.get(name);
    double value = mine == null ? Double.NaN : mine.eval(variables);
    if (mine != null && Double.isNaN(value) && told.add(name)) {
      LOG.error("policy: {} divides by zero, the shipped rule is used", name.text());
    }
    if (Double.isNaN(value)) {
      value = shipped.get(name).eval(variables);
    }
    double kept = Math.max(name.least, Math.min(name.most, value));
    if (kept != value && told.add(name)) {
      LOG.error("policy: {} would be {}, kept at {}", name.text(), value, kept);
    }
    return kept;
  }
}
