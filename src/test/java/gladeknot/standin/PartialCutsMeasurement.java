package gladeknot.standin;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;

import gladeknot.settings.Features;
import gladeknot.standin.LinkFaults.Direction;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Runs the same schedules of partial partitions with and without the feature partial-cuts, on
 * several seeds, and prints minimum, median and maximum of each measurement. Times are simulated.
 *
 * <p>Usage: {@code PartialCutsMeasurement [SEEDS]}. {@code PartialCutsMeasurement cost MACHINES}
 * measures the feature's overhead without faults. {@code PartialCutsMeasurement orders SEEDS}
 * measures the time from the fault to a partitioned controller's last command.
 */
public final class PartialCutsMeasurement {
  private static final int FAULTY_NODE = 0;
  private static final long FAULT_MICROS = 60 * MICROS_PER_SECOND;
  private static final long STEP_MICROS = MICROS_PER_SECOND / 10;
  private static final int DEFAULT_SEED_COUNT = 7;
  private static final int COST_JOB_COUNT = 6;
  private static final int COMMAND_RUN_SECONDS = 60;

  /** Number of schedules at the list's start that cut the state service throughout the fault. */
  private static final int STATE_SCHEDULE_COUNT = 3;

  private record Schedule(
      String name, BiConsumer<SimulatedCluster, Boolean> inject, long periodMicros) {}

  private static final List<Schedule> SCHEDULES =
      List.of(
          new Schedule(
              "state: requests lost",
              (cluster, on) -> drop(cluster, Direction.STATE_REQUESTS, on),
              0),
          new Schedule(
              "state: answers lost",
              (cluster, on) -> drop(cluster, Direction.STATE_ANSWERS, on),
              0),
          new Schedule(
              "state: 503 to one alone",
              (cluster, on) -> cluster.faults().rejectStateCalls(FAULTY_NODE, on),
              0),
          new Schedule("reports lost", (cluster, on) -> drop(cluster, Direction.REPORTS, on), 0),
          new Schedule(
              "answers to reports lost",
              (cluster, on) -> drop(cluster, Direction.REPORT_ANSWERS, on),
              0),
          new Schedule(
              "workers lost both ways",
              (cluster, on) -> cluster.faults().disconnectFromWorkers(FAULTY_NODE, on),
              0),
          new Schedule(
              "state answers flap, 1 s",
              (cluster, on) -> drop(cluster, Direction.STATE_ANSWERS, on),
              MICROS_PER_SECOND),
          new Schedule(
              "state answers flap, 8 s",
              (cluster, on) -> drop(cluster, Direction.STATE_ANSWERS, on),
              8 * MICROS_PER_SECOND),
          new Schedule(
              "state answers flap, 10 s",
              (cluster, on) -> drop(cluster, Direction.STATE_ANSWERS, on),
              10 * MICROS_PER_SECOND),
          new Schedule("no cut", (cluster, on) -> {}, 0));

  /** Measurements of one run; the failover time is NaN if the shard was not taken over. */
  private record Result(
      double failoverSeconds, double newTerms, double startsDuringFault, double startsAfterFault) {}

  private PartialCutsMeasurement() {}

  private static void drop(SimulatedCluster cluster, Direction direction, boolean on) {
    cluster.faults().links().setDropped(FAULTY_NODE, direction, on);
  }

  private static Result play(Schedule schedule, Features features, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(3, seed, ClusterScale.SMALL, features);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-web", "service", 9));
    cluster.submit(1, TestJobs.job("req-web2", "service", 9));
    cluster.run(20 * MICROS_PER_SECOND + seed % 10 * MICROS_PER_SECOND / 10);
    long termsBefore = cluster.terms();
    int startsBefore = cluster.starts();
    long faultStartMicros = cluster.now();
    double failoverSeconds = Double.NaN;
    for (long elapsed = 0; elapsed < FAULT_MICROS; elapsed += STEP_MICROS) {
      boolean on =
          schedule.periodMicros() == 0
              || elapsed % schedule.periodMicros() < schedule.periodMicros() / 2;
      schedule.inject().accept(cluster, on);
      cluster.run(STEP_MICROS);
      if (Double.isNaN(failoverSeconds) && !"node-0".equals(cluster.owner(FAULTY_NODE))) {
        failoverSeconds = (cluster.now() - faultStartMicros) / (double) MICROS_PER_SECOND;
      }
    }
    schedule.inject().accept(cluster, false);
    int startsBeforeHealing = cluster.starts();
    cluster.run(60 * MICROS_PER_SECOND);
    if (!cluster.violations().isEmpty()) {
      throw new IllegalStateException(schedule.name() + ": " + cluster.violations());
    }
    return new Result(
        failoverSeconds,
        cluster.terms() - termsBefore,
        startsBeforeHealing - startsBefore,
        cluster.starts() - startsBeforeHealing);
  }

  /**
   * Returns the seconds from the fault to the faulty controller's last command. Small jobs are
   * submitted throughout the run.
   */
  private static double secondsToLastCommand(Schedule schedule, Features features, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(3, seed, ClusterScale.SMALL, features);
    cluster.run(3 * MICROS_PER_SECOND);
    int jobCount = 0;
    long faultStartMicros = 0;
    for (int second = 0; second < COMMAND_RUN_SECONDS; second++) {
      if (second == COMMAND_RUN_SECONDS / 3) {
        schedule.inject().accept(cluster, true);
        faultStartMicros = cluster.now();
      }
      cluster.submit(jobCount % 3, TestJobs.job("req-small" + jobCount++, "array", 3));
      cluster.run(MICROS_PER_SECOND);
    }
    return (cluster.lastCommandMicros(FAULTY_NODE) - faultStartMicros) / (double) MICROS_PER_SECOND;
  }

  private static void printLastCommands(int seeds) {
    System.out.println("| schedule | feature | s until the cut controller's last order |");
    System.out.println("| --- | --- | --- |");
    for (Schedule schedule : SCHEDULES.subList(0, STATE_SCHEDULE_COUNT)) {
      for (boolean on : new boolean[] {false, true}) {
        Features features = on ? FeatureSettings.partialCuts() : Features.NONE;
        List<Double> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          results.add(secondsToLastCommand(schedule, features, seed));
        }
        System.out.printf(
            "| %s | %s | %s |%n", schedule.name(), on ? "on" : "off", spread(results));
      }
    }
  }

  private static String spread(List<Double> values) {
    List<Double> known =
        new ArrayList<>(values.stream().filter(value -> !Double.isNaN(value)).toList());
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

  /** Prints the overhead of the feature without faults in a cluster of the given size. */
  private static void printCost(int machines) {
    System.out.println(
        "| machines | feature | state calls a s | peer bytes a s | processor s a simulated minute |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (boolean on : new boolean[] {false, true, false, true}) {
      Features features = on ? FeatureSettings.partialCuts() : Features.NONE;
      SimulatedCluster cluster =
          new SimulatedCluster(5, 34, new ClusterScale(machines, 0, 400, 200), features);
      cluster.run(3 * MICROS_PER_SECOND);
      for (int i = 0; i < COST_JOB_COUNT; i++) {
        var job = TestJobs.job("req-web-" + i, "service", machines / COST_JOB_COUNT);
        job.put("cores", 4.0);
        job.put("scatter", false);
        cluster.submit(i % 5, job);
      }
      cluster.run(40 * MICROS_PER_SECOND);
      long callsBefore = cluster.stateCalls();
      long bytesBefore = cluster.peerBytes();
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      long cpuNanos = threads.getCurrentThreadCpuTime();
      cluster.run(60 * MICROS_PER_SECOND);
      System.out.printf(
          "| %d | %s | %.1f | %.0f | %.2f |%n",
          cluster.machineCount(),
          on ? "on" : "off",
          (cluster.stateCalls() - callsBefore) / 60.0,
          (cluster.peerBytes() - bytesBefore) / 60.0,
          (threads.getCurrentThreadCpuTime() - cpuNanos) / 1e9);
    }
  }

  /** Prints a table with one row per schedule and feature setting. */
  public static void main(String[] args) {
    if (args.length == 2 && args[0].equals("orders")) {
      printLastCommands(Integer.parseInt(args[1]));
      return;
    }
    if (args.length == 2) {
      printCost(Integer.parseInt(args[1]));
      return;
    }
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEED_COUNT;
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
            spread(results.stream().map(Result::failoverSeconds).toList()),
            spread(results.stream().map(Result::newTerms).toList()),
            spread(results.stream().map(Result::startsDuringFault).toList()),
            spread(results.stream().map(Result::startsAfterFault).toList()));
      }
    }
  }
}
