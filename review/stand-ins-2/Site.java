package review2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A small deployment on loopback, after the site file fcfb-dossiers: state service, cloud, workers, and the
 * controllers as processes of their own, started with the deploy file's command. Keeps the record, and checks the
 * rules ran_twice, quota and ran_cancelled as they are written.
 */
final class Site {
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  private final Path folder;
  private final PrintWriter record;
  private final long began = now();
  final List<String> names = List.of("knotbox-0", "knotbox-1", "knotbox-2");
  final int[] ports = new int[3];
  private final int[] backs = new int[3];
  private final int[] statePorts = new int[3];
  private boolean finished;
  private final Process[] controllers = new Process[3];
  final boolean[] stopped = new boolean[3];
  final List<String> ends = new ArrayList<>();
  final State state;
  final Cloud cloud;
  final long leaseMs = 14_000;
  final long reportMs = 2_000;
  final long cancelMs = 39_000;
  /** Teams: name to cpus, cpus_max, gpus, gpus_max. */
  final Map<String, double[]> teams = new LinkedHashMap<>();
  private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
  private final Map<String, Long> runMs = new ConcurrentHashMap<>();
  final Map<String, Long> leasesLapsed = new ConcurrentHashMap<>();
  final Map<String, Long> cancelledAt = new ConcurrentHashMap<>();
  private final Map<String, String> placed = new HashMap<>();
  private final Map<String, Double> used = new HashMap<>();
  final List<String> broken = new ArrayList<>();
  final Map<String, Integer> starts = new HashMap<>();
  /** Added to the counts of the workers' messages. */
  java.math.BigInteger firstTick = java.math.BigInteger.ZERO;
  final Set<String> results = ConcurrentHashMap.newKeySet();

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Site(String caseFolder) throws IOException {
    root = Path.of("").toAbsolutePath();
    folder = Files.createTempDirectory("review-2-");
    record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
    teams.put("leden", new double[] {48, 136, 2, 6});
    teams.put("fiscaal", new double[] {56, 224, 2, 8});
    teams.put("datalab", new double[] {112, 264, 8, 16});
    state = new State(120, 25, 8, 20);
    cloud =
        new Cloud(
            this,
            List.of(
                type("klein", 4, 0, 32, 0.24, 0.06, 4, 3, 4, 3),
                type("middel", 8, 0, 32, 0.46, 0.11, 3, 1, 4, 1),
                type("zwaar", 64, 0, 512, 4.15, 1.07, 1, 1, 0, 0),
                type("beeld", 12, 2, 48, 4.79, 1.35, 1, 1, 1, 1)));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    Thread.setDefaultUncaughtExceptionHandler((thread, e) -> finish(2, "the stand-ins failed: " + e));
    Http.daemon(
        () -> {
          sleep(116_000);
          finish(2, "the case takes too long");
        });
  }

  private static Cloud.Type type(
      String label, double cores, double gpus, double memory, double price, double spotPrice,
      int brussel, int brusselSpot, int antwerpen, int antwerpenSpot) {
    Map<String, int[]> capacity = new LinkedHashMap<>();
    capacity.put("brussel", new int[] {brussel, brusselSpot});
    if (antwerpen + antwerpenSpot > 0) {
      capacity.put("antwerpen", new int[] {antwerpen, antwerpenSpot});
    }
    return new Cloud.Type(label, cores, gpus, memory, price, spotPrice, capacity);
  }

  synchronized void note(String text) {
    record.printf("%8.3f %s%n", (now() - began) / 1000.0, text);
    record.flush();
  }

  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // In use: another one.
      }
    }
  }

  /** Starts the services, writes the settings and starts the controllers. */
  void start() throws IOException {
    int cloudPort = Http.listen(cloud::serve);
    for (int k = 0; k < 3; k++) {
      ports[k] = freePort();
      backs[k] = freePort();
      statePorts[k] = Http.listen(state.forNode(k));
    }
    for (int k = 0; k < 3; k++) {
      StringBuilder t = new StringBuilder();
      t.append("node_name = \"" + names.get(k) + "\"\ndomain = \"brussel\"\nclient_listen = \"127.0.0.1:"
          + ports[k] + "\"\nback = \"127.0.0.1:" + backs[k] + "\"\n");
      for (int m = 0; m < 3; m++) {
        if (m != k) {
          t.append("[[members]]\nnode_name = \"" + names.get(m)
              + "\"\ndomain = \"brussel\"\naddr = \"127.0.0.1:" + backs[m] + "\"\n");
        }
      }
      t.append("[external]\ncloud = \"127.0.0.1:" + cloudPort + "\"\nstate = \"127.0.0.1:" + statePorts[k]
          + "\"\n[cluster]\ninitial_size = 3\nzones = [\"antwerpen\", \"brussel\"]\nclock_error_ms = 100.0\n");
      teams.forEach(
          (name, l) ->
              t.append("[[cluster.teams]]\nname = \"" + name + "\"\ncpus = " + l[0] + "\ncpus_max = " + l[1]
                  + "\ngpus = " + l[2] + "\ngpus_max = " + l[3] + "\n"));
      t.append("""
          [[cluster.objectives]]
          kind = "wait"
          class = "depot"
          within_s = 6.0
          share = 0.93
          [[cluster.objectives]]
          kind = "deadline"
          class = "regels"
          share = 0.9
          times = 1.0
          [[cluster.objectives]]
          kind = "guarantee"
          within_s = 5.0
          share = 0.92
          [cluster.workers]
          report_s = 2.0
          lease_s = 14.0
          gang_wait_s = 30.0
          gang_peer_s = 6.0
          cancel_s = 39.0
          [cluster.state]
          rps = 120.0
          write_rps = 25.0
          value_kb = 8.0
          txn_ops = 20
          [cluster.cloud]
          rps = 5.0
          list_lag_s = 8.0
          [cluster.machine_limits]
          core_share = 0.17
          memory_mb = 205.0
          max_connections = 1200
          """);
      Files.writeString(folder.resolve("node-" + k + ".toml"), t);
      startController(k);
    }
  }

  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(text.split(" ")));
      }
    }
    throw new IOException("no run in deploy/service.toml");
  }

  void startController(int k) throws IOException {
    List<String> command = command();
    command.add(folder.resolve("node-" + k + ".toml").toString());
    File log = folder.resolve("node-" + k + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    controllers[k] = process;
    note("controller started " + names.get(k) + " pid " + process.pid());
    Http.daemon(
        () -> {
          int code = process.waitFor();
          if (!stopped[k]) {
            synchronized (ends) {
              ends.add(names.get(k) + " exit code " + code);
            }
            note("controller ended by itself: " + names.get(k) + " exit code " + code);
          }
        });
  }

  /** Kills a controller (SIGKILL). */
  void kill(int k) {
    stopped[k] = true;
    controllers[k].destroyForcibly();
    note("controller killed " + names.get(k));
  }

  long pid(int k) {
    return controllers[k].pid();
  }

  String log(int k) throws IOException {
    return Files.readString(folder.resolve("node-" + k + ".log"));
  }

  private void killAll() {
    for (int k = 0; k < 3; k++) {
      stopped[k] = true;
      if (controllers[k] != null) {
        controllers[k].destroyForcibly();
      }
    }
  }

  /** Waits until all nodes are healthy; exits with 2 if they are not in time. */
  void awaitHealthy() {
    long until = now() + 40_000;
    for (int k = 0; k < 3; k++) {
      while (Http.call(ports[k], "GET", "/healthz", "", 1000).status() != 200) {
        if (now() > until) {
          finish(2, "a node does not become healthy");
        }
        sleep(200);
      }
    }
    note("all nodes healthy");
  }

  /** Writes the end of the record, ends the controllers and exits. */
  void finish(int code, String why) {
    synchronized (names) {
      if (finished) {
        return;
      }
      finished = true;
    }
    for (int k = 0; k < 3; k++) {
      try {
        note("end of the log of " + names.get(k) + ":");
        List<String> lines = log(k).lines().toList();
        lines.subList(Math.max(0, lines.size() - 25), lines.size()).forEach(l -> note("  " + l));
      } catch (IOException e) {
        // Not started.
      }
    }
    note("state service: 429 answers " + state.refused429 + ", malformed " + state.malformed.size()
        + (state.malformed.isEmpty() ? "" : " first: " + state.malformed.get(0)));
    note("exit " + code + ": " + why);
    System.out.println("exit " + code + ": " + why);
    killAll();
    for (Process p : controllers) {
      try {
        if (p != null) {
          p.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // Left to the system.
    }
    Runtime.getRuntime().halt(code);
  }

  Map<String, Object> job(String id) {
    return jobs.get(id);
  }

  long runMs(String strand) {
    return runMs.get(strand.substring(0, strand.lastIndexOf('/')));
  }

  static Map<String, Object> spec(
      String id, String jobclass, String owner, String shape, String rank, int strands, double cores, double memoryGb) {
    return Json.of("id", id, "jobclass", jobclass, "owner", owner, "shape", shape, "rank", rank, "strands", strands,
        "cores", cores, "accelerators", 0.0, "memoryGb", memoryGb, "bundle", "img-01", "sizeGb", 1.2,
        "hosttypes", null, "glade", null, "together", false, "scatter", false, "loaners", false,
        "guessS", 20.0, "snapshotS", 0.0, "flushS", 0.0, "dueS", null);
  }

  /** Uploads a job's description for the workers; its tasks run that long, -1: until they are stopped. */
  void describe(Map<String, Object> spec, long taskMs) {
    jobs.put((String) spec.get("id"), spec);
    runMs.put((String) spec.get("id"), taskMs);
  }

  Http.Reply submit(int node, Map<String, Object> spec) {
    Http.Reply reply = Http.call(ports[node], "POST", "/work", Json.write(spec), 5000);
    note("submit " + spec.get("id") + " at " + names.get(node) + ": " + reply.status() + " " + reply.body());
    return reply;
  }

  /** Submits as a user does: again after a second until it is answered, at the next node, for a minute. */
  boolean submitUntilAccepted(int node, Map<String, Object> spec) {
    for (int k = 0; k < 60; k++) {
      int status = submit((node + k) % 3, spec).status();
      if (status == 200 || status == 201) {
        return true;
      }
      if (status == 400 || status == 422) {
        return false;
      }
      sleep(1000);
    }
    return false;
  }

  Map<String, Object> poll(int node, String id) {
    Http.Reply reply = Http.call(ports[node], "GET", "/work/" + id, "", 2000);
    note("poll " + id + " at " + names.get(node) + ": " + reply.status() + " " + reply.body());
    return reply.status() == 200 ? Json.object(reply.body()) : Json.of("phase", "status " + reply.status());
  }

  synchronized void onStarted(Worker worker, String strand, long number) {
    starts.merge(strand, 1, Integer::sum);
    String job = strand.substring(0, strand.lastIndexOf('/'));
    String other = placed.put(strand, worker.host);
    if (other != null) {
      breaks("ran_twice: " + strand + " starts on " + worker.host + " while it is on " + other);
    }
    String team = (String) job(job).get("owner");
    double cpus = used.merge(team, Json.decimal(job(job), "cores"), Double::sum);
    if (teams.get(team)[1] > 0 && cpus > teams.get(team)[1] + 1e-6) {
      breaks("quota: team " + team + " uses " + cpus);
    }
    Long cancelled = cancelledAt.get(job);
    if (cancelled != null && now() - cancelled > cancelMs) {
      breaks("ran_cancelled: " + strand + " starts");
    }
    if (starts.size() < 400) {
      note("task starts " + strand + " try " + number + " on " + worker.host);
    }
  }

  synchronized void onLeft(String host, String strand, long number, String why) {
    if (host.equals(placed.get(strand))) {
      placed.remove(strand);
    }
    String job = strand.substring(0, strand.lastIndexOf('/'));
    used.merge((String) job(job).get("owner"), -Json.decimal(job(job), "cores"), Double::sum);
    Long cancelled = cancelledAt.get(job);
    if (cancelled != null && now() - cancelled > cancelMs + 200) {
      breaks("ran_cancelled: " + strand + " was on " + host + " for " + (now() - cancelled) + " ms");
    }
    if (starts.size() < 400) {
      note("task left " + strand + " try " + number + " on " + host + ": " + why);
    }
  }

  /** Returns whether a task of a job has ever been on a machine. */
  synchronized boolean hasStarted(String job) {
    return starts.keySet().stream().anyMatch(strand -> strand.startsWith(job + "/"));
  }

  /** Returns the number of tasks of a job that are on machines now. */
  synchronized int onMachines(String job) {
    return (int) placed.keySet().stream().filter(strand -> strand.startsWith(job + "/")).count();
  }

  private long nextTooLargeNote;

  synchronized void onReportTooLarge(Worker worker, int bytes, int count) {
    if (now() >= nextTooLargeNote) {
      nextTooLargeNote = now() + 1000;
      note("report of " + worker.host + " lists " + count + " tasks: " + bytes + " bytes, can't be sent");
    }
  }

  synchronized void breaks(String what) {
    broken.add(what);
    note("BROKEN " + what);
  }
}
