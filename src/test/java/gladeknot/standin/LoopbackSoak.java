package gladeknot.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Runs one seed on real processes: three controllers, teams near their limits of CPUs and GPUs,
 * users that submit, cancel, poll and resubmit jobs at all nodes, and overlapping {@link
 * LoopbackFaults}. The result depends on the recorded {@link History} and on the invariants that
 * the controllers check themselves, never on speed.
 */
public final class LoopbackSoak {
  private static final int CONTROLLERS = 3;
  private static final int USERS = 3;
  private static final long SUBMIT_INTERVAL_MILLIS = 250;
  private static final long SHORT_SUBMIT_INTERVAL_MILLIS = 50;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long LARGE_WARM_UP_MILLIS = 12_000;
  private static final long READY_MILLIS = 60_000;
  private static final long SETTLE_MILLIS = 150_000;
  private static final long STEP_MILLIS = 500;
  private static final long TASK_MICROS = 1_500_000;

  private static final double SMALL_VALUE_KILOBYTES = 1.0;

  /** CPUs of each small task; many small tasks fill the segments. */
  private static final double SMALL_CPUS = 0.02;

  /** CPUs of each large task; large tasks stay pending until a shard with capacity claims them. */
  private static final double LARGE_CPUS = 1.5;

  /** Interval between the seeds that have a few hundred machines. */
  private static final int LARGE_SEED_INTERVAL = 6;

  private static final LoopbackScale STANDARD =
      new LoopbackScale(
          24,
          2,
          List.of(
              TestTeams.team("dev", 8_000, 24_000, 0, 0),
              TestTeams.team("ops", 6_000, 18_000, 2_000, 6_000),
              TestTeams.team("lab", 4_000, 0, 4_000, 8_000)),
          TASK_MICROS);

  /** Scale with small values in the state service, so that segments are split several times. */
  private static final LoopbackScale SPLITTING =
      new LoopbackScale(
          9,
          2,
          List.of(
              TestTeams.team("dev", 8_000, 24_000, 0, 0),
              TestTeams.team("ops", 6_000, 18_000, 2_000, 6_000),
              TestTeams.team("lab", 4_000, 0, 4_000, 8_000)),
          10_000_000,
          SMALL_VALUE_KILOBYTES);

  private static final LoopbackScale LARGE =
      new LoopbackScale(
          260,
          2,
          List.of(
              TestTeams.team("dev", 200_000, 660_000, 0, 0),
              TestTeams.team("ops", 6_000, 18_000, 2_000, 6_000),
              TestTeams.team("lab", 4_000, 0, 4_000, 8_000)),
          TASK_MICROS);

  private final Path dir;
  private final long seed;
  private final long faultMillis;
  private final List<String> problems = new ArrayList<>();

  /** Creates a run of a seed that injects faults for the given time and writes to a directory. */
  public LoopbackSoak(Path dir, long seed, long faultMillis) {
    this.dir = dir;
    this.seed = seed;
    this.faultMillis = faultMillis;
  }

  /** Returns whether a seed has a few hundred machines. */
  public static boolean isLarge(long seed) {
    return Math.floorMod(seed, LARGE_SEED_INTERVAL) == 0;
  }

  /** Returns whether a seed has small values in the state service, so that segments are split. */
  public static boolean isSplitting(long seed) {
    return seed % 2 != 0;
  }

  /**
   * Runs the seed and returns the problems found. If there are any, the schedule, the logs and the
   * problems are kept in the directory.
   */
  public List<String> run() throws IOException, InterruptedException {
    deleteFiles();
    Files.createDirectories(dir);
    LoopbackScale scale = scale(seed);
    List<String> schedule;
    try (LoopbackCluster cluster = new LoopbackCluster(dir, CONTROLLERS, false, scale)) {
      schedule = play(cluster);
    }
    if (problems.isEmpty()) {
      deleteFiles();
    } else {
      Files.write(dir.resolve("schedule.txt"), schedule);
      Files.write(dir.resolve("problems.txt"), problems);
    }
    return problems;
  }

  private static LoopbackScale scale(long seed) {
    if (isLarge(seed)) {
      return LARGE;
    }
    return isSplitting(seed) ? SPLITTING : STANDARD;
  }

  private void deleteFiles() throws IOException {
    if (Files.exists(dir)) {
      try (Stream<Path> files = Files.walk(dir)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  private List<String> play(LoopbackCluster cluster) throws IOException, InterruptedException {
    if (!await(READY_MILLIS, () -> cluster.eachShardHasItsHome())) {
      problems.add("not ready: the shards have no owners");
      return List.of();
    }
    List<LoopbackUsers> users = newUsers(cluster);
    List<Thread> threads = users.stream().map(LoopbackSoak::startThread).toList();
    LoopbackServices.pause(isLarge(seed) ? LARGE_WARM_UP_MILLIS : WARM_UP_MILLIS);
    if (isSplitting(seed) && !await(READY_MILLIS, () -> cluster.segmentSplit() > 1)) {
      problems.add("no segment was split");
    }
    LoopbackFaults faults = new LoopbackFaults(cluster, CONTROLLERS, seed);
    long deadlineMicros = LoopbackServices.now() + faultMillis * 1000;
    while (LoopbackServices.now() < deadlineMicros) {
      faults.step();
      if (isSplitting(seed)) {
        faults.delayWatches();
      }
      LoopbackServices.pause(STEP_MILLIS);
    }
    faults.endAll();
    users.forEach(LoopbackUsers::stop);
    for (Thread thread : threads) {
      thread.join();
    }
    settle(cluster, users);
    check(cluster);
    return faults.log();
  }

  private List<LoopbackUsers> newUsers(LoopbackCluster cluster) {
    List<LoopbackUsers> users = new ArrayList<>();
    for (int i = 0; i < USERS; i++) {
      users.add(
          new LoopbackUsers(
              cluster.services().nodes(),
              cluster.history(),
              seed * USERS + i,
              isSplitting(seed) ? SHORT_SUBMIT_INTERVAL_MILLIS : SUBMIT_INTERVAL_MILLIS,
              "u" + i + "x",
              isLarge(seed) && i == 0 ? LoopbackSoak::largeJob : jobMix(),
              true));
    }
    return users;
  }

  private LoopbackUsers.JobMix jobMix() {
    return isSplitting(seed) ? LoopbackSoak::smallOrPendingJob : LoopbackSoak::job;
  }

  private static Thread startThread(LoopbackUsers users) {
    Thread thread = new Thread(users, "users");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static Map<String, Object> job(String id, SplittableRandom random) {
    String shape =
        switch (random.nextInt(10)) {
          case 0 -> "ensemble";
          case 1 -> "service";
          default -> "array";
        };
    int tasks = shape.equals("array") ? 1 + random.nextInt(12) : 2 + random.nextInt(2);
    Map<String, Object> job = TestJobs.job(id, shape, tasks);
    String team = List.of("dev", "ops", "lab").get(random.nextInt(3));
    job.put("owner", team);
    job.put("accelerators", team.equals("dev") ? 0.0 : (double) random.nextInt(2));
    return job;
  }

  /**
   * Returns a job of many small tasks, which fill segments, or of large tasks, which stay pending.
   */
  private static Map<String, Object> smallOrPendingJob(String id, SplittableRandom random) {
    boolean small = random.nextBoolean();
    String shape =
        List.of("service", "array", "service", small ? "ensemble" : "array").get(random.nextInt(4));
    int most = !small ? 3 : shape.equals("array") ? 400 : 12;
    Map<String, Object> job = TestJobs.job(id, shape, 1 + random.nextInt(most));
    job.put("owner", List.of("dev", "ops", "lab").get(random.nextInt(3)));
    job.put("cores", small ? SMALL_CPUS : LARGE_CPUS);
    job.put("memoryGb", small ? SMALL_CPUS : 1.0);
    return job;
  }

  /** Returns an array whose tasks take most of a machine each: hundreds of machines are rented. */
  private static Map<String, Object> largeJob(String id, SplittableRandom random) {
    Map<String, Object> job = TestJobs.job(id, "array", 60 + random.nextInt(60));
    job.put("cores", 3.0);
    return job;
  }

  /** Cancels services and waits until every accepted job ends and its tasks have stopped. */
  private void settle(LoopbackCluster cluster, List<LoopbackUsers> users) {
    boolean ended =
        await(
            SETTLE_MILLIS,
            () -> {
              users.forEach(LoopbackSoak::finish);
              return openJobs(cluster).isEmpty();
            });
    if (!ended) {
      problems.add("not ended or not answered for: " + openJobs(cluster));
    }
    boolean stopped =
        await(
            LoopbackServices.CANCEL_MICROS / 1000,
            () -> cluster.history().runningTasks().isEmpty());
    if (!stopped) {
      problems.add("still on machines: " + cluster.history().runningTasks());
    }
  }

  private static Set<String> openJobs(LoopbackCluster cluster) {
    Set<String> open = cluster.history().unfinishedJobs();
    open.removeIf(job -> !cluster.history().isAccepted(job));
    return open;
  }

  private static void finish(LoopbackUsers users) {
    for (String job : users.jobs()) {
      if (users.isOpen(job)) {
        if (users.isService(job)) {
          users.cancel(job);
        } else {
          users.poll(job);
        }
      }
    }
  }

  private void check(LoopbackCluster cluster) throws IOException {
    System.out.printf("seed %d: segments were split into %d%n", seed, cluster.segmentSplit());
    problems.addAll(cluster.history().violations(LoopbackServices.now()));
    for (int node = 0; node < CONTROLLERS; node++) {
      if (!cluster.isRunning(node)) {
        problems.add("node-" + node + " has ended by itself");
      }
    }
    problems.addAll(cluster.loggedFaults());
    if (cluster.history().starts() == 0) {
      problems.add("nothing ran");
    }
  }

  private interface Condition {
    boolean holds();
  }

  private static boolean await(long millis, Condition condition) {
    long deadlineMicros = LoopbackServices.now() + millis * 1000;
    while (!condition.holds()) {
      if (LoopbackServices.now() > deadlineMicros) {
        return false;
      }
      LoopbackServices.pause(200);
    }
    return true;
  }

  /** Runs a seed and returns the problems found; an interruption counts as a problem. */
  public static List<String> problemsOf(Path dir, long seed, long faultMillis) {
    try {
      return new LoopbackSoak(dir, seed, faultMillis).run();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return List.of("interrupted");
    }
  }
}
