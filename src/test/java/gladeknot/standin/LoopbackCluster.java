package gladeknot.standin;

import gladeknot.standin.DirectionalProxy.Mode;
import gladeknot.standin.DirectionalProxy.Toward;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Controllers as real processes on loopback, with the stand-ins around them and a proxy in every
 * link, so that single directions can be cut on command.
 */
public final class LoopbackCluster implements AutoCloseable {
  private static final long TASK_MICROS = 1_000_000;
  private static final long END_SECONDS = 10;

  private final Path dir;
  private final boolean featureOn;
  private final DirectionalProxy proxy = new DirectionalProxy();
  private final History history = new History(LoopbackServices.CANCEL_MICROS);
  private final LoopbackServices services =
      new LoopbackServices(proxy::open, Optional.of(history), TASK_MICROS);
  private final List<Process> processes = new ArrayList<>();
  private final List<String> statusAddresses = new ArrayList<>();

  /** Starts so many controllers; their settings and logs go into a folder. */
  public LoopbackCluster(Path dir, int controllers, boolean featureOn) throws IOException {
    this.dir = dir;
    this.featureOn = featureOn;
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

  /** Starts one controller's process. */
  public void start(int node) throws IOException {
    List<String> line = new ArrayList<>();
    line.add(ProcessHandle.current().info().command().orElse("java"));
    line.addAll(List.of("-Xmx112m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    String tests = System.getProperty("surefire.test.class.path");
    line.addAll(List.of("-cp", tests != null ? tests : System.getProperty("java.class.path")));
    line.addAll(List.of("gladeknot.app.Main", "--config", dir + "/node-" + node + ".toml"));
    if (featureOn) {
      line.addAll(List.of("--feature", featureFile(node).toString()));
    }
    File log = dir.resolve("node-" + node + ".log").toFile();
    processes.set(
        node,
        new ProcessBuilder(line)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start());
  }

  /** Kills one controller's process without notice. */
  public void kill(int node) throws InterruptedException {
    processes.get(node).destroyForcibly();
    processes.get(node).waitFor(END_SECONDS, TimeUnit.SECONDS);
  }

  /** Sets what happens in one direction of a link. */
  public void set(String link, Toward toward, Mode mode) {
    proxy.set(link, toward, mode, 0);
  }

  /** The link of a controller to the state service. */
  public static String stateLink(int node) {
    return "node-" + node + ">state";
  }

  /** The link of the workers to a controller. */
  public static String workerLink(int node) {
    return "workers>node-" + node;
  }

  /** The link of one controller to another. */
  public static String peerLink(int from, int to) {
    return "node-" + from + ">node-" + to;
  }

  /** Who owns a shard by its key; null if there is no key yet. */
  public String owner(int shard) {
    var key = services.stateOf("g/shard/" + shard);
    return key == null ? null : String.valueOf(key.get("owner"));
  }

  public History history() {
    return history;
  }

  public LoopbackServices services() {
    return services;
  }

  /** Where a controller's operators' listener is. */
  public String statusAddress(int node) {
    return statusAddresses.get(node);
  }

  /** What a controller has logged so far. */
  public String log(int node) throws IOException {
    return Files.readString(dir.resolve("node-" + node + ".log"));
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    services.stop();
    proxy.close();
  }
}
