package gladeknot.standin;

import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Records when each attempt was on its machine, as the machine saw it. Overlaps are computed from
 * these times and not from the order in which they became known, so that a slow observer reports no
 * violation that did not occur.
 */
final class ExecutionIntervals {
  /** The team of a task and the resources that one task uses. */
  record TeamUse(String team, ResourceUse use) {}

  private static final class Interval {
    private final String host;
    private final String task;
    private final long attempt;
    private final long startMicros;
    private OptionalLong endMicros = OptionalLong.empty();

    Interval(String host, String task, long attempt, long startMicros) {
      this.host = host;
      this.task = task;
      this.attempt = attempt;
      this.startMicros = startMicros;
    }

    boolean isOpen() {
      return endMicros.isEmpty();
    }

    long endMicrosOrMax() {
      return endMicros.orElse(Long.MAX_VALUE);
    }
  }

  private record Boundary(long micros, boolean start, Interval interval) {}

  private final List<Interval> intervals = new ArrayList<>();
  private final Map<String, List<Interval>> byTask = new HashMap<>();

  void started(String host, String task, long attempt, long micros) {
    Interval interval = new Interval(host, task, attempt, micros);
    intervals.add(interval);
    byTask.computeIfAbsent(task, absent -> new ArrayList<>()).add(interval);
  }

  void ended(String host, String task, long attempt, long micros) {
    for (Interval interval : byTask.getOrDefault(task, List.of())) {
      if (interval.isOpen() && interval.attempt == attempt && interval.host.equals(host)) {
        interval.endMicros = OptionalLong.of(micros);
      }
    }
  }

  /** Returns the tasks that are on a machine. */
  List<String> running() {
    return intervals.stream().filter(Interval::isOpen).map(interval -> interval.task).toList();
  }

  /**
   * Returns a description of each overlap, that is, of each task that was on two machines at once.
   */
  List<String> overlaps() {
    List<String> found = new ArrayList<>();
    byTask.forEach((task, all) -> findOverlaps(task, all, found));
    return found;
  }

  private static void findOverlaps(String task, List<Interval> all, List<String> found) {
    List<Interval> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparingLong(interval -> interval.startMicros));
    for (int i = 1; i < sorted.size(); i++) {
      Interval earlier = sorted.get(i - 1);
      Interval later = sorted.get(i);
      if (later.startMicros < earlier.endMicrosOrMax()) {
        found.add("runs twice: " + task + " on " + earlier.host + " and " + later.host);
      }
    }
  }

  /** Returns descriptions of the first time at which each team's tasks used more than its limit. */
  List<String> exceededLimits(List<Settings.Team> teams, Function<String, TeamUse> useOfTask) {
    Map<String, ResourceUse> usage = new HashMap<>();
    Map<String, String> found = new HashMap<>();
    for (Boundary boundary : boundaries()) {
      TeamUse task = useOfTask.apply(boundary.interval().task);
      ResourceUse before = usage.getOrDefault(task.team(), ResourceUse.NONE);
      ResourceUse now = boundary.start() ? before.plus(task.use()) : before.minus(task.use());
      usage.put(task.team(), now);
      for (Settings.Team team : teams) {
        if (boundary.start() && team.name().equals(task.team()) && now.exceeds(team)) {
          found.putIfAbsent(
              team.name(),
              "quota: "
                  + team.name()
                  + " uses "
                  + now
                  + " with "
                  + boundary.interval().task
                  + " at "
                  + boundary.micros());
        }
      }
    }
    return List.copyOf(found.values());
  }

  /** Returns all starts and ends in the order of time; ends come before starts of the same time. */
  private List<Boundary> boundaries() {
    List<Boundary> boundaries = new ArrayList<>();
    for (Interval interval : intervals) {
      boundaries.add(new Boundary(interval.startMicros, true, interval));
      interval.endMicros.ifPresent(
          endMicros -> boundaries.add(new Boundary(endMicros, false, interval)));
    }
    boundaries.sort(Comparator.comparingLong(Boundary::micros).thenComparing(Boundary::start));
    return boundaries;
  }
}
