package gladeknot.standin;

import static gladeknot.standin.SimulatedCluster.SECOND;

import gladeknot.settings.Features;
import gladeknot.standin.DirectionalCuts.Way;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Plays the same schedules of cuts with the feature partial-cuts and without it, on several seeds,
 * and prints minimum, median and maximum of what it measures. Times are simulated.
 *
 * <p>Usage: {@code PartialCutsMeasurement [SEEDS]}, or {@code PartialCutsMeasurement cost MACHINES}
 * for what it costs without any cut, or {@code PartialCutsMeasurement orders SEEDS} for how long a
 * cut controller goes on giving orders.
 */
public final class PartialCutsMeasurement {
  private static final int CUT = 0;
  private static final long CUT_MICROS = 60 * SECOND;
  private static final long STEP = SECOND / 10;
  private static final int DEFAULT_SEEDS = 7;
  private static final int COST_JOBS = 6;
  private static final int ORDER_SECONDS = 60;

  /** How many of the schedules, from the first, cut the state service for good. */
  private static final int STATE_SCHEDULES = 3;

  private record Schedule(
      String name, BiConsumer<SimulatedCluster, Boolean> set, long periodMicros) {}

  private static final List<Schedule> SCHEDULES =
      List.of(
          new Schedule("state: requests lost", (w, on) -> cut(w, Way.STATE_REQUESTS, on), 0),
          new Schedule("state: answers lost", (w, on) -> cut(w, Way.STATE_ANSWERS, on), 0),
          new Schedule(
              "state: 503 to one alone", (w, on) -> w.faults().rejectStateCalls(CUT, on), 0),
          new Schedule("reports lost", (w, on) -> cut(w, Way.REPORTS, on), 0),
          new Schedule("answers to reports lost", (w, on) -> cut(w, Way.REPORT_ANSWERS, on), 0),
          new Schedule(
              "workers lost both ways", (w, on) -> w.faults().disconnectFromWorkers(CUT, on), 0),
          new Schedule("state answers flap, 1 s", (w, on) -> cut(w, Way.STATE_ANSWERS, on), SECOND),
          new Schedule(
              "state answers flap, 8 s", (w, on) -> cut(w, Way.STATE_ANSWERS, on), 8 * SECOND),
          new Schedule(
              "state answers flap, 10 s", (w, on) -> cut(w, Way.STATE_ANSWERS, on), 10 * SECOND),
          new Schedule("no cut", (w, on) -> {}, 0));

  /** What one run showed. */
  private record Result(
      double movedAfterS, double newTerms, double startsAgain, double ordersBack) {}

  private PartialCutsMeasurement() {}

  private static void cut(SimulatedCluster w, Way way, boolean on) {
    w.faults().cuts().set(CUT, way, on);
  }

  private static Result play(Schedule schedule, Features features, long seed) {
    SimulatedCluster w = new SimulatedCluster(3, seed, ClusterScale.SMALL, features);
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-web", "service", 9));
    w.submit(1, TestJobs.job("req-web2", "service", 9));
    w.run(20 * SECOND + seed % 10 * SECOND / 10);
    long terms = w.terms();
    int starts = w.starts();
    long began = w.now();
    double moved = Double.NaN;
    for (long t = 0; t < CUT_MICROS; t += STEP) {
      boolean on =
          schedule.periodMicros() == 0 || t % schedule.periodMicros() < schedule.periodMicros() / 2;
      schedule.set().accept(w, on);
      w.run(STEP);
      if (Double.isNaN(moved) && !"node-0".equals(w.owner(CUT))) {
        moved = (w.now() - began) / (double) SECOND;
      }
    }
    schedule.set().accept(w, false);
    int startsInCut = w.starts();
    w.run(60 * SECOND);
    if (!w.violations().isEmpty()) {
      throw new IllegalStateException(schedule.name() + ": " + w.violations());
    }
    return new Result(moved, w.terms() - terms, startsInCut - starts, w.starts() - startsInCut);
  }

  /** Seconds from a cut to the cut controller's last order while small jobs keep coming. */
  private static double lastOrder(Schedule schedule, Features features, long seed) {
    SimulatedCluster w = new SimulatedCluster(3, seed, ClusterScale.SMALL, features);
    w.run(3 * SECOND);
    int next = 0;
    long began = 0;
    for (int second = 0; second < ORDER_SECONDS; second++) {
      if (second == ORDER_SECONDS / 3) {
        schedule.set().accept(w, true);
        began = w.now();
      }
      w.submit(next % 3, TestJobs.job("req-small" + next++, "array", 3));
      w.run(SECOND);
    }
    return (w.lastCommandMicros(CUT) - began) / (double) SECOND;
  }

  private static void orders(int seeds) {
    System.out.println("| schedule | feature | s until the cut controller's last order |");
    System.out.println("| --- | --- | --- |");
    for (Schedule schedule : SCHEDULES.subList(0, STATE_SCHEDULES)) {
      for (boolean on : new boolean[] {false, true}) {
        Features features = on ? FeatureSettings.partialCuts() : Features.NONE;
        List<Double> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          results.add(lastOrder(schedule, features, seed));
        }
        System.out.printf(
            "| %s | %s | %s |%n", schedule.name(), on ? "on" : "off", spread(results));
      }
    }
  }

  private static String spread(List<Double> values) {
    List<Double> known = new ArrayList<>(values.stream().filter(v -> !Double.isNaN(v)).toList());
    if (known.isEmpty()) {
      return "never";
    }
    Collections.sort(known);
    String text =
        String.format(
            "%.1f / %.1f / %.1f",
            known.get(0), known.get(known.size() / 2), known.get(known.size() - 1));
    int never = values.size() - known.size();
    return never == 0 ? text : text + " (" + never + " never)";
  }

  /** Prints what the feature costs without any cut, in a cluster of so many machines. */
  private static void cost(int machines) {
    System.out.println(
        "| machines | feature | state calls a s | peer bytes a s | processor s a simulated minute |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (boolean on : new boolean[] {false, true, false, true}) {
      Features features = on ? FeatureSettings.partialCuts() : Features.NONE;
      SimulatedCluster w =
          new SimulatedCluster(5, 34, new ClusterScale(machines, 0, 400, 200), features);
      w.run(3 * SECOND);
      for (int i = 0; i < COST_JOBS; i++) {
        var job = TestJobs.job("req-web-" + i, "service", machines / COST_JOBS);
        job.put("cores", 4.0);
        job.put("scatter", false);
        w.submit(i % 5, job);
      }
      w.run(40 * SECOND);
      long calls = w.stateCalls();
      long bytes = w.peerBytes();
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      long cpu = threads.getCurrentThreadCpuTime();
      w.run(60 * SECOND);
      System.out.printf(
          "| %d | %s | %.1f | %.0f | %.2f |%n",
          w.machineCount(),
          on ? "on" : "off",
          (w.stateCalls() - calls) / 60.0,
          (w.peerBytes() - bytes) / 60.0,
          (threads.getCurrentThreadCpuTime() - cpu) / 1e9);
    }
  }

  /** Prints a table, one line a schedule and setting. */
  public static void main(String[] args) {
    if (args.length == 2 && args[0].equals("orders")) {
      orders(Integer.parseInt(args[1]));
      return;
    }
    if (args.length == 2) {
      cost(Integer.parseInt(args[1]));
      return;
    }
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    System.out.println(
        "| schedule | feature | s until shard 0 moved | new terms | starts anew in the cut | and after |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (Schedule schedule : SCHEDULES) {
      for (boolean on : new boolean[] {false, true}) {
        Features features = on ? FeatureSettings.partialCuts() : Features.NONE;
        List<Result> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          results.add(play(schedule, features, seed));
        }
        System.out.printf(
            "| %s | %s | %s | %s | %s | %s |%n",
            schedule.name(),
            on ? "on" : "off",
            spread(results.stream().map(Result::movedAfterS).toList()),
            spread(results.stream().map(Result::newTerms).toList()),
            spread(results.stream().map(Result::startsAgain).toList()),
            spread(results.stream().map(Result::ordersBack).toList()));
      }
    }
  }
}
