package rig;

import gladeknot.json.Json;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Controllers as processes, started by the command of the deploy file, and their stand-ins. */
public final class Rig implements AutoCloseable {
  /** The settings of a deployment. */
  public record Site(
      int nodes,
      List<String> nodeZones,
      List<String> zones,
      double reportS,
      double leaseS,
      double cancelS,
      double rps,
      double writeRps,
      double valueKb,
      int txnOps,
      double cloudRps,
      double listLagS,
      int maxConnections,
      String teams,
      String objectives) {}

  public final Site site;

  /** How many controllers there are; workers know their addresses. */
  public volatile int members;

  public final StateService state;
  public final Machines machines;
  public final History history = new History(this);
  public final List<String> addresses = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();
  public final List<StateService.Link> links = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final List<Http.Server> stateServers = new ArrayList<>();
  private final Path dir;
  private final List<String> command;
  private final PrintWriter record;
  private final long began = System.nanoTime();

  public Rig(Site site, List<Machines.Type> types, Path recordFile) throws IOException {
    this.site = site;
    this.members = site.nodes();
    this.dir = Files.createTempDirectory("gladeknot-review");
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
    this.command = deployCommand();
    this.state = new StateService(site.rps(), site.writeRps(), (int) (site.valueKb() * 1024), site.txnOps());
    this.machines = new Machines(this, types);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    writeSettings();
  }

  private static List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(7, line.length() - 1).split(" "));
      }
    }
    throw new IOException("deploy/service.toml has no run");
  }

  /** A free loopback port below those of outgoing connections. */
  private static int freePort() throws IOException {
    while (true) {
      try (ServerSocket socket =
          new ServerSocket(ThreadLocalRandom.current().nextInt(12_000, 32_000), 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException e) {
        // In use: another one.
      }
    }
  }

  private void writeSettings() throws IOException {
    for (int i = 0; i < site.nodes(); i++) {
      addresses.add("127.0.0.1:" + freePort());
      peers.add("127.0.0.1:" + freePort());
      StateService.Link link = new StateService.Link();
      links.add(link);
      stateServers.add(new Http.Server((method, uri, body) -> state.serve(link, method, uri, body)));
      processes.add(null);
    }
    for (int i = 0; i < site.nodes(); i++) {
      writeSettings(i, site.nodes());
    }
  }

  /** Writes the settings of a controller among the first {@code count} ones. */
  public void writeSettings(int i, int count) throws IOException {
    String zone = nodeZone(i);
    StringBuilder text = new StringBuilder();
    text.append("node_name = \"knotbox-" + i + "\"\ndomain = \"" + zone + "\"\n");
    text.append("client_listen = \"" + addresses.get(i) + "\"\nback = \"" + peers.get(i) + "\"\n");
    for (int j = 0; j < count; j++) {
      if (j != i) {
        text.append("[[members]]\nnode_name = \"knotbox-" + j + "\"\ndomain = \"");
        text.append(nodeZone(j) + "\"\naddr = \"" + peers.get(j) + "\"\n");
      }
    }
    text.append("[external]\ncloud = \"" + machines.cloud.address() + "\"\n");
    text.append("state = \"" + stateServers.get(i).address() + "\"\n");
    text.append("[cluster]\ninitial_size = " + count + "\nzones = [\"");
    text.append(String.join("\", \"", site.zones()) + "\"]\nclock_error_ms = 100.0\n");
    text.append(site.teams()).append(site.objectives());
    text.append("[cluster.workers]\nreport_s = " + site.reportS() + "\nlease_s = " + site.leaseS());
    text.append("\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = " + site.cancelS() + "\n");
    text.append("[cluster.state]\nrps = " + site.rps() + "\nwrite_rps = " + site.writeRps());
    text.append("\nvalue_kb = " + site.valueKb() + "\ntxn_ops = " + site.txnOps() + "\n");
    text.append("[cluster.cloud]\nrps = " + site.cloudRps() + "\nlist_lag_s = " + site.listLagS() + "\n");
    text.append("[cluster.machine_limits]\nmax_connections = " + site.maxConnections() + "\n");
    Files.writeString(settings(i), text);
  }

  private String nodeZone(int node) {
    return site.nodeZones().get(node % site.nodeZones().size());
  }

  private Path settings(int node) {
    return dir.resolve("knotbox-" + node + ".toml");
  }

  public void startNode(int node) throws IOException {
    List<String> line = new ArrayList<>(command);
    line.add(settings(node).toString());
    ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true);
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node)));
    processes.set(node, builder.start());
    record("start knotbox-" + node);
  }

  public void startAll() throws IOException {
    for (int i = 0; i < site.nodes(); i++) {
      startNode(i);
    }
  }

  public File log(int node) {
    return dir.resolve("knotbox-" + node + ".log").toFile();
  }

  public String logText(int node) throws IOException {
    return Files.readString(log(node).toPath());
  }

  public void kill(int node) throws InterruptedException {
    record("kill -9 knotbox-" + node);
    processes.get(node).destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  public boolean isAlive(int node) {
    return processes.get(node).isAlive();
  }

  public void signal(int node, String name) throws IOException, InterruptedException {
    record("kill -" + name + " knotbox-" + node);
    new ProcessBuilder("kill", "-" + name, "" + processes.get(node).pid()).start().waitFor();
  }

  /** Resident memory of a controller, in MiB. */
  public long residentMb(int node) {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + processes.get(node).pid() + "/status"))) {
      return lines.filter(l -> l.startsWith("VmRSS")).mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024)
          .findFirst().orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  public int index(String node) {
    return node != null && node.matches("knotbox-[0-9]+") ? Integer.parseInt(node.substring(8)) : -1;
  }

  public double seconds() {
    return (System.nanoTime() - began) / 1e9;
  }

  public synchronized void record(String text) {
    record.printf("%7.2f %s%n", seconds(), text);
    record.flush();
  }

  public boolean healthy(int node) {
    return Http.once(addresses.get(node), "GET", "/healthz", new byte[0], 1000).status() == 200;
  }

  public boolean await(double mostSeconds, java.util.function.BooleanSupplier condition) {
    double end = seconds() + mostSeconds;
    while (!condition.getAsBoolean()) {
      if (seconds() > end) {
        return false;
      }
      pause(200);
    }
    return true;
  }

  public boolean awaitHealthy(double mostSeconds) {
    return await(mostSeconds, () -> {
      for (int i = 0; i < site.nodes(); i++) {
        if (!healthy(i)) {
          return false;
        }
      }
      return true;
    });
  }

  public Http.Answer submit(int node, Map<String, Object> job) {
    Http.Answer answer = Http.once(addresses.get(node), "POST", "/work", Json.bytes(job), 5000);
    record("POST /work knotbox-" + node + " " + job.get("id") + " -> " + answer.status() + " " + new String(answer.body()));
    return answer;
  }

  public Http.Answer poll(int node, String job) {
    Http.Answer answer = Http.once(addresses.get(node), "GET", "/work/" + job, new byte[0], 2000);
    record("GET /work/" + job + " knotbox-" + node + " -> " + answer.status() + " " + new String(answer.body()));
    return answer;
  }

  public Http.Answer cancel(int node, String job) {
    Http.Answer answer = Http.once(addresses.get(node), "POST", "/work/" + job + "/abort", new byte[0], 5000);
    record("POST /work/" + job + "/abort knotbox-" + node + " -> " + answer.status() + " " + new String(answer.body()));
    return answer;
  }

  /** Ends the process with 2 if a case takes longer than it may. */
  public static void limitSeconds(long seconds) {
    Http.start("limit", () -> {
      pause(seconds * 1000);
      System.err.println("the case did not end in " + seconds + " s");
      System.exit(2);
    });
  }

  public static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  public static Map<String, Object> job(String id, String jobClass, String owner, String shape, String rank, int strands) {
    Map<String, Object> job = Json.of("id", id, "jobclass", jobClass, "owner", owner, "shape", shape, "rank", rank);
    job.putAll(Json.of("strands", strands, "cores", 1.0, "accelerators", 0.0, "memoryGb", 1.0, "bundle", "img-1"));
    job.putAll(Json.of("sizeGb", 0.5, "hosttypes", null, "glade", null, "together", false, "scatter", false));
    job.putAll(Json.of("loaners", true, "guessS", 4.0, "snapshotS", 0.0, "flushS", 0.0, "dueS", null));
    return job;
  }

  static Map<String, Object> object(byte[] body) {
    try {
      return body.length == 0 ? Map.of() : Json.object(body);
    } catch (IOException e) {
      return Map.of();
    }
  }

  public static String phase(Http.Answer answer) {
    return answer.status() == 200 || answer.status() == 201 ? Json.text(object(answer.body()), "phase") : "";
  }

  public static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    record.flush();
    String keep = System.getProperty("keep.logs");
    if (keep != null) {
      Files.createDirectories(Path.of(keep));
      for (int i = 0; i < site.nodes(); i++) {
        Files.copy(log(i).toPath(), Path.of(keep, "knotbox-" + i + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
    try (Stream<Path> files = Files.walk(dir)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
