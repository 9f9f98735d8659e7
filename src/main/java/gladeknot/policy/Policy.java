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
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rules that tune a controller's decisions: the shipped ones, with those of an operators' file
 * over them. Runs on the event loop's thread; results are kept until the variables change.
 */
public final class Policy {
  private static final Logger LOG = LoggerFactory.getLogger(Policy.class);
  private static final String SHIPPED = "/gladeknot/policy/default.policy";

  /**
   * What can be set, with the range that a result is kept in; durations in seconds. {@code
   * default.policy} says what each is for.
   */
  public enum Name {
    /** How long a controller's lease on the state store lasts. */
    STATE_LEASE(Type.DURATION, 1, 60),
    /** How full machines are meant to be with work that has a deadline. */
    FILL(Type.NUMBER, 0.2, 5),
    /** The same for work that a machine scaled out on demand is still in time for. */
    FILL_WITH_SLACK(Type.NUMBER, 0.2, 5),
    /** Capacity kept for work that starts at once, in standard deviations above the mean. */
    SPREAD(Type.NUMBER, 0, 10),
    /** For how long ahead capacity is kept for services. */
    SERVICE_AHEAD(Type.DURATION, 0, 3600),
    /** Over which time arrivals are counted. */
    WINDOW(Type.DURATION, 10, 3600),
    /** After how long an idle machine that is not needed is scaled in. */
    IDLE_KEEP(Type.DURATION, 0, 86400),
    /** How long replicas wait before a machine is scaled out for them. */
    REPLICA_WAIT(Type.DURATION, 0, 3600),
    /** How long work without any objective waits before a machine is scaled out for it. */
    PATIENCE(Type.DURATION, 0, 86400),
    /** Up to which multiple of the least cost GPU machines serve work without GPUs. */
    DEAR(Type.NUMBER, 0, 1000),
    /** After how long work that has not begun goes first in its priority. */
    STARVE_AFTER(Type.DURATION, 0, 86400),
    /** After how long a task of another shard is claimed. */
    CLAIM_AFTER(Type.DURATION, 0, 60),
    /** After how long tasks of lower priority are preempted. */
    STOP_AFTER(Type.DURATION, 0, 600),
    /** After how long tasks of equal priority are preempted for a guarantee. */
    STOP_EQUAL_AFTER(Type.DURATION, 0, 600),
    /** The share of the time that a task has, after which a machine is scaled out for it. */
    HASTE(Type.NUMBER, 0, 1),
    /** The share of the time left at which deferred jobs go among the first again. */
    LAST_CALL(Type.NUMBER, 0, 1),
    /** For a guarantee, how much work a preempted task of equal priority may lose at most. */
    YOUNG(Type.DURATION, 0, 86400);

    private final Type type;
    private final double min;
    private final double max;

    Name(Type type, double min, double max) {
      this.type = type;
      this.min = min;
      this.max = max;
    }

    private double clamp(double value) {
      return Math.max(min, Math.min(max, value));
    }

    /** The name in a policy text. */
    String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final String LEASE = "lease_s";
  private static final String CANCEL = "cancel_s";
  private static final String HEARTBEAT = "report_s";
  private static final String CONTROLLERS = "members";
  private static final String MACHINES = "machines";
  private static final String WAITING_TASKS = "waiting_tasks";

  private static final Map<String, Type> VARIABLES =
      Map.of(
          LEASE, Type.DURATION,
          CANCEL, Type.DURATION,
          HEARTBEAT, Type.DURATION,
          CONTROLLERS, Type.NUMBER,
          MACHINES, Type.NUMBER,
          WAITING_TASKS, Type.NUMBER);

  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<Name, Expression> shippedRules = new EnumMap<>(Name.class);
  private final Map<Name, Expression> operatorRules = new EnumMap<>(Name.class);
  private final Map<String, Double> variables = new HashMap<>();
  private final Map<Name, Double> values = new EnumMap<>(Name.class);
  private final Set<Name> reported = new HashSet<>();

  private Policy(Map<String, Expression> shipped, Map<String, Expression> operators) {
    for (Name name : Name.values()) {
      shippedRules.put(name, shipped.get(name.text()));
      if (operators.containsKey(name.text())) {
        operatorRules.put(name, operators.get(name.text()));
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

  /**
   * The shipped rules, with those of a file over them.
   *
   * @param file the operators' file; null if there is none
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException if the file has faults
   */
  public static Policy load(Path file) throws IOException {
    return of(file == null ? "" : Files.readString(file));
  }

  /** The shipped rules, with those of a text over them. */
  public static Policy of(String text) {
    PolicyParser parser = parser();
    Map<String, Expression> operators = parser.parse(text);
    if (!parser.faults().isEmpty()) {
      throw new IllegalArgumentException(parser.faults().toString());
    }
    return new Policy(parseShipped(), operators);
  }

  /** Sets the variables that stay the same while the process lives. */
  public void settings(Settings settings) {
    variables.put(LEASE, settings.workers().leaseMicros() / MICROS_PER_SECOND);
    variables.put(CANCEL, settings.workers().cancelMicros() / MICROS_PER_SECOND);
    variables.put(HEARTBEAT, settings.workers().heartbeatMicros() / MICROS_PER_SECOND);
    variables.put(CONTROLLERS, (double) settings.nodes().size());
    values.clear();
  }

  /** Sets the variables that change with the cluster's load. */
  public void load(int machines, int waitingTasks) {
    variables.put(MACHINES, (double) machines);
    variables.put(WAITING_TASKS, (double) waitingTasks);
    values.clear();
  }

  /** A rule's value: a number, or a duration in seconds. */
  public double number(Name name) {
    return values.computeIfAbsent(name, this::eval);
  }

  /** A rule's duration in microseconds. */
  public long micros(Name name) {
    return (long) (number(name) * MICROS_PER_SECOND);
  }

  private double eval(Name name) {
    double value = evalUnclamped(name);
    double clamped = name.clamp(value);
    if (clamped != value && reported.add(name)) {
      LOG.error("policy rule clamped rule={} value={} used={}", name.text(), value, clamped);
    }
    return clamped;
  }

  /** The operators' value; the shipped one if they set none, or theirs is no number. */
  private double evalUnclamped(Name name) {
    Expression operatorRule = operatorRules.get(name);
    if (operatorRule != null) {
      double value = operatorRule.eval(variables);
      if (!Double.isNaN(value)) {
        return value;
      }
      if (reported.add(name)) {
        LOG.error("policy rule divides by zero rule={} used=shipped", name.text());
      }
    }
    return shippedRules.get(name).eval(variables);
  }
}
