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
 * Rules that tune a controller's decisions. Rules of an operators' file override the shipped rules.
 * Must be used on the event loop's thread. Results are cached until the variables change.
 */
public final class Policy {
  private static final Logger LOG = LoggerFactory.getLogger(Policy.class);
  private static final String SHIPPED_RESOURCE = "/gladeknot/policy/default.policy";

  /**
   * Names that rules can set, with the range that each result is limited to. Durations are in
   * seconds. {@code default.policy} describes the purpose of each name.
   */
  public enum Name {
    /** Duration of a controller's lease in the state service. */
    STATE_LEASE(Type.DURATION, 1, 60),
    /** Target utilization of the capacity kept for jobs with deadlines. */
    FILL(Type.NUMBER, 0.2, 5),
    /**
     * Target utilization of the capacity kept for jobs with deadlines for which a machine scaled
     * out on demand is still in time.
     */
    FILL_WITH_SLACK(Type.NUMBER, 0.2, 5),
    /** Capacity kept for jobs that should start at once, in standard deviations above the mean. */
    SPREAD(Type.NUMBER, 0, 10),
    /** Time ahead for which capacity is kept for services. */
    SERVICE_AHEAD(Type.DURATION, 0, 3600),
    /** Length of the window in which arrivals of jobs are counted. */
    WINDOW(Type.DURATION, 10, 3600),
    /** Time after which an idle machine that is not required is scaled in. */
    IDLE_KEEP(Type.DURATION, 0, 86400),
    /** Time that replicas wait before a machine is scaled out for them. */
    REPLICA_WAIT(Type.DURATION, 0, 3600),
    /** Time that jobs without an objective wait before a machine is scaled out for them. */
    PATIENCE(Type.DURATION, 0, 86400),
    /**
     * Maximum cost of a task without GPUs on a machine with GPUs, as a multiple of its cost on the
     * cheapest machine without GPUs.
     */
    DEAR(Type.NUMBER, 0, 1000),
    /** Time after which a job that has not started takes precedence within its priority. */
    STARVE_AFTER(Type.DURATION, 0, 86400),
    /** Time after which a pending task of another shard is claimed. */
    CLAIM_AFTER(Type.DURATION, 0, 60),
    /** Time after which tasks of lower priority are preempted for a pending task. */
    STOP_AFTER(Type.DURATION, 0, 600),
    /** Time after which tasks of equal priority are preempted for a guarantee. */
    STOP_EQUAL_AFTER(Type.DURATION, 0, 600),
    /**
     * Fraction of the time that a task has. A machine is scaled out for a task that would start
     * later than this.
     */
    HASTE(Type.NUMBER, 0, 1),
    /** Remaining fraction of the time for an objective at which deferred jobs come first again. */
    LAST_CALL(Type.NUMBER, 0, 1),
    /** Maximum loss by preempting a task of equal priority for a guarantee. */
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

    /** Returns the name in a policy text. */
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
  private final Set<Name> loggedNames = new HashSet<>();

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
    try (InputStream in = Policy.class.getResourceAsStream(SHIPPED_RESOURCE)) {
      return parser().parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the faults of a file, each with line and column. */
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
   * Creates a policy in which the rules of a file override the shipped rules.
   *
   * @param file the operators' file; null if there is none
   * @throws IOException if the file can't be read
   * @throws IllegalArgumentException if the file has faults
   */
  public static Policy load(Path file) throws IOException {
    return of(file == null ? "" : Files.readString(file));
  }

  /**
   * Creates a policy in which the rules of a text override the shipped rules.
   *
   * @throws IllegalArgumentException if the text has faults
   */
  public static Policy of(String text) {
    PolicyParser parser = parser();
    Map<String, Expression> operators = parser.parse(text);
    if (!parser.faults().isEmpty()) {
      throw new IllegalArgumentException(parser.faults().toString());
    }
    return new Policy(parseShipped(), operators);
  }

  /** Sets the variables that are constant during the life of the process. */
  public void setSettings(Settings settings) {
    variables.put(LEASE, settings.workers().leaseMicros() / MICROS_PER_SECOND);
    variables.put(CANCEL, settings.workers().cancelMicros() / MICROS_PER_SECOND);
    variables.put(HEARTBEAT, settings.workers().heartbeatMicros() / MICROS_PER_SECOND);
    variables.put(CONTROLLERS, (double) settings.nodes().size());
    values.clear();
  }

  /** Sets the variables that change with the cluster's load. */
  public void setLoad(int machines, int waitingTasks) {
    variables.put(MACHINES, (double) machines);
    variables.put(WAITING_TASKS, (double) waitingTasks);
    values.clear();
  }

  /** Returns the value of a rule: a number, or a duration in seconds. */
  public double number(Name name) {
    return values.computeIfAbsent(name, this::eval);
  }

  /** Returns the value of a rule that is a duration, in microseconds. */
  public long micros(Name name) {
    return (long) (number(name) * MICROS_PER_SECOND);
  }

  private double eval(Name name) {
    double value = evalUnclamped(name);
    double clamped = name.clamp(value);
    if (clamped != value && loggedNames.add(name)) {
      LOG.error("policy rule clamped rule={} value={} used={}", name.text(), value, clamped);
    }
    return clamped;
  }

  /**
   * Returns the value of the operators' rule, or the value of the shipped rule if the operators set
   * no rule or their rule yields NaN.
   */
  private double evalUnclamped(Name name) {
    Expression operatorRule = operatorRules.get(name);
    if (operatorRule != null) {
      double value = operatorRule.eval(variables);
      if (!Double.isNaN(value)) {
        return value;
      }
      if (loggedNames.add(name)) {
        LOG.error("policy rule divides by zero rule={} used=shipped", name.text());
      }
    }
    return shippedRules.get(name).eval(variables);
  }
}
