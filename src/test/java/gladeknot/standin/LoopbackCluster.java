package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.standin.DirectionalProxy.Direction;
import gladeknot.standin.DirectionalProxy.Mode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Controllers as real processes on loopback with fake services, and a proxy on every link that can
 * drop, delay or refuse traffic in one direction.
 */
public final class LoopbackCluster implements AutoCloseable {
  private static final long EXIT_WAIT_SECONDS = 10;

  /** Log texts by which a controller reports that it broke an invariant or failed. */
  private static final List<String> LOGGED_FAULTS =
      List.of(
          "quota share violated",
          "quota record violated",
          "slice integrity violated",
          "event failed",
          "OutOfMemoryError");

  private final Path dir;
  private final boolean partialCutsEnabled;
  private final DirectionalProxy proxy = new DirectionalProxy();
  private final History history;
  private final LoopbackServices services;
  private final List<Process> processes = new ArrayList<>();
  private final List<String> statusAddresses = new ArrayList<>();

  /** Starts the given number of controllers with settings and logs in {@code dir}. */
  public LoopbackCluster(Path dir, int controllers, boolean partialCutsEnabled) throws IOException {
    this(dir, controllers, partialCutsEnabled, LoopbackScale.SMALL);
  }

  /** Starts the given number of controllers with services of the given scale. */
  public LoopbackCluster(Path dir, int controllers, boolean partialCutsEnabled, LoopbackScale scale)
      throws IOException {
    this.dir = dir;
    this.partialCutsEnabled = partialCutsEnabled;
    this.history = new History(LoopbackServices.CANCEL_MICROS, scale.teams(), controllers);
    this.services = new LoopbackServices(proxy::open, Optional.of(history), scale);
    services.start(dir, controllers);
    for (int i = 0; i < controllers; i++) {
      String listen = "127.0.0.1:" + LoopbackServices.freePort();
      statusAddresses.add(listen);
      Files.writeString(
          featureFile(i), "feature = \"partial-cuts\"\n[status]\nlisten = \"" + listen + "\"\n");
      processes.add(null);
      start(i);
    }
  }

  private Path featureFile(int node) {
    return dir.resolve("partial-cuts-" + node + ".toml");
  }

  /** Starts one controller's process; appends to its log file. */
  public void start(int node) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElse("java"));
    command.addAll(List.of("-Xmx112m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    String tests = System.getProperty("surefire.test.class.path");
    command.addAll(List.of("-cp", tests != null ? tests : System.getProperty("java.class.path")));
    command.addAll(List.of("gladeknot.app.Main", "--config", dir + "/node-" + node + ".toml"));
    if (partialCutsEnabled) {
      command.addAll(List.of("--feature", featureFile(node).toString()));
    }
    File log = dir.resolve("node-" + node + ".log").toFile();
    processes.set(
        node,
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start());
  }

  /** Kills one controller's process forcibly. */
  public void kill(int node) throws InterruptedException {
    processes.get(node).destroyForcibly();
    processes.get(node).waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Suspends or resumes one controller's process. Its clocks keep running meanwhile. */
  public void suspend(int node, boolean suspended) throws IOException, InterruptedException {
    Process process = processes.get(node);
    if (process.isAlive()) {
      new ProcessBuilder("kill", suspended ? "-STOP" : "-CONT", String.valueOf(process.pid()))
          .start()
          .waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS);
    }
  }

  /** Returns whether one controller's process exists; a suspended process counts as running. */
  public boolean isRunning(int node) {
    return processes.get(node).isAlive();
  }

  /** Delays one direction of a link. */
  public void delay(String link, Direction direction, long millis) {
    proxy.setMode(link, direction, Mode.DELAY, millis);
  }

  /** Sets the proxy mode of one direction of a link. */
  public void setMode(String link, Direction direction, Mode mode) {
    proxy.setMode(link, direction, mode, 0);
  }

  /** Returns the name of a controller's link to the state service. */
  public static String stateLink(int node) {
    return "node-" + node + ">state";
  }

  /** Returns the name of the workers' link to a controller. */
  public static String workerLink(int node) {
    return "workers>node-" + node;
  }

  /** Returns the name of the link from one controller to another. */
  public static String peerLink(int from, int to) {
    return "node-" + from + ">node-" + to;
  }

  /** Returns the node that owns a shard by its stored record; null without a record. */
  public String owner(int shard) {
    var key = services.stateOf("g/shard/" + shard);
    return key == null ? null : String.valueOf(key.get("owner"));
  }

  /** Returns whether each shard is owned by its home controller, which has the same index. */
  public boolean eachShardHasItsHome() {
    for (int shard = 0; shard < processes.size(); shard++) {
      if (!("node-" + shard).equals(owner(shard))) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of segments into which each segment of the first layout is split. */
  public long segmentSplit() {
    Map<String, Object> format = services.stateOf("g/format");
    return format == null ? 1 : Json.longValue(format, "split", 1);
  }

  /** Returns what users, workers and the state service observed. */
  public History history() {
    return history;
  }

  /** Returns the fake services. */
  public LoopbackServices services() {
    return services;
  }

  /** Returns the address of a controller's status listener. */
  public String statusAddress(int node) {
    return statusAddresses.get(node);
  }

  /** Returns a controller's log so far. */
  public String log(int node) throws IOException {
    return Files.readString(dir.resolve("node-" + node + ".log"));
  }

  /** Returns the texts of {@link #LOGGED_FAULTS} that appear in controllers' logs. */
  public List<String> loggedFaults() throws IOException {
    List<String> found = new ArrayList<>();
    for (int node = 0; node < processes.size(); node++) {
      String log = log(node);
      for (String fault : LOGGED_FAULTS) {
        if (log.contains(fault)) {
          found.add("node-" + node + " logged: " + fault);
        }
      }
    }
    return found;
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    services.stop();
    proxy.close();
  }
}
