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
 * When each attempt was on its machine, as the machines saw it. What ran at the same time is worked
 * out from these times and not from the order in which they became known, so that a slow observer
 * finds no fault that was not there.
 */
final class ExecutionIntervals {
  /** A task's team and what one task uses. */
  record TeamUse(String team, ResourceUse use) {}

  private static final class Interval {
    private final String host;
    private final String task;
    private final long number;
    private final long from;
    private OptionalLong until = OptionalLong.empty();

    Interval(String host, String task, long number, long from) {
      this.host = host;
      this.task = task;
      this.number = number;
      this.from = from;
    }

    boolean lasts() {
      return until.isEmpty();
    }

    long end() {
      return until.orElse(Long.MAX_VALUE);
    }
  }

  private record Step(long micros, boolean start, Interval interval) {}

  private final List<Interval> intervals = new ArrayList<>();
  private final Map<String, List<Interval>> byTask = new HashMap<>();

  void started(String host, String task, long number, long micros) {
    Interval interval = new Interval(host, task, number, micros);
    intervals.add(interval);
    byTask.computeIfAbsent(task, absent -> new ArrayList<>()).add(interval);
  }

  void ended(String host, String task, long number, long micros) {
    for (Interval interval : byTask.getOrDefault(task, List.of())) {
      if (interval.lasts() && interval.number == number && interval.host.equals(host)) {
        interval.until = OptionalLong.of(micros);
      }
    }
  }

  /** The tasks that are on a machine. */
  List<String> running() {
    return intervals.stream().filter(Interval::lasts).map(interval -> interval.task).toList();
  }

  /** Tasks that were on two machines at once, in words. */
  List<String> overlaps() {
    List<String> found = new ArrayList<>();
    byTask.forEach((task, all) -> findOverlaps(task, all, found));
    return found;
  }

  private static void findOverlaps(String task, List<Interval> all, List<String> found) {
    List<Interval> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparingLong(interval -> interval.from));
    for (int i = 1; i < sorted.size(); i++) {
      Interval before = sorted.get(i - 1);
      Interval after = sorted.get(i);
      if (after.from < before.end()) {
        found.add("runs twice: " + task + " on " + before.host + " and " + after.host);
      }
    }
  }

  /** Teams whose tasks used more than a limit at some time, in words, each once. */
  List<String> exceededLimits(List<Settings.Team> teams, Function<String, TeamUse> useOfTask) {
    Map<String, ResourceUse> usage = new HashMap<>();
    Map<String, String> found = new HashMap<>();
    for (Step step : steps()) {
      TeamUse task = useOfTask.apply(step.interval().task);
      ResourceUse before = usage.getOrDefault(task.team(), ResourceUse.NONE);
      ResourceUse now = step.start() ? before.plus(task.use()) : before.minus(task.use());
      usage.put(task.team(), now);
      for (Settings.Team team : teams) {
        if (step.start() && team.name().equals(task.team()) && now.exceeds(team)) {
          found.putIfAbsent(
              team.name(),
              "quota: "
                  + team.name()
                  + " uses "
                  + now
                  + " with "
                  + step.interval().task
                  + " at "
                  + step.micros());
        }
      }
    }
    return List.copyOf(found.values());
  }

  /** All starts and ends by time, ends before starts of the same time. */
  private List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (Interval interval : intervals) {
      steps.add(new Step(interval.from, true, interval));
      interval.until.ifPresent(until -> steps.add(new Step(until, false, interval)));
    }
    steps.sort(Comparator.comparingLong(Step::micros).thenComparing(Step::start));
    return steps;
  }
}
