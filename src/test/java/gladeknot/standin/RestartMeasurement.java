package gladeknot.standin;

import gladeknot.jobs.JobRecordCodec;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Measures how a crash of all controllers depends on the number of finished jobs that are stored:
 * {@code java -cp target/gladeknot.jar:target/test-classes gladeknot.standin.RestartMeasurement
 * [--archived] FINISHED_JOBS...}. The records lie in the archive, or where earlier versions have
 * left them.
 *
 * <p>For each number it starts five controllers by the command of the deploy file, at the limits of
 * the deployment with the fewest requests per second, kills all of them and starts them again after
 * six seconds. It prints the times from the crash to the first answer about a finished job and to
 * the health of all controllers, the calls to the state service meanwhile, and the largest resident
 * memory of a controller.
 */
public final class RestartMeasurement {
  private static final String ARCHIVED = "--archived";
  private static final int CONTROLLERS = 5;
  private static final double STATE_RPS = 100;
  private static final double WRITE_RPS = 15;
  private static final long RESTART_MILLIS = 6_000;
  private static final long POLL_MILLIS = 200;
  private static final long TIMEOUT_MICROS = 180_000_000;
  private static final int OK = 200;
  private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");
  private static final String RUN = "run = \"";
  private static final LoopbackScale SCALE =
      new LoopbackScale(8, 0, List.of(TestTeams.team("dev", 8_000, 40_000, 0, 0)), 10_000_000)
          .withStateRates(STATE_RPS, WRITE_RPS);

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final LoopbackServices services =
      new LoopbackServices(LoopbackServices.Links.DIRECT, Optional.empty(), SCALE);
  private final List<Process> processes = new ArrayList<>();
  private final int finishedJobs;
  private final String keyPrefix;
  private Path dir;

  private RestartMeasurement(int finishedJobs, String keyPrefix) {
    this.finishedJobs = finishedJobs;
    this.keyPrefix = keyPrefix;
  }

  /** Measures each of the given numbers of finished jobs and prints a line for each. */
  public static void main(String[] args) throws Exception {
    System.out.println(
        "finished  first start  first answer  all healthy  state calls  refused  memory");
    List<String> numbers = new ArrayList<>(List.of(args));
    String keyPrefix = numbers.remove(ARCHIVED) ? "h/job/" : "g/job/";
    for (String finishedJobs : numbers) {
      new RestartMeasurement(Integer.parseInt(finishedJobs), keyPrefix).measure();
    }
    System.exit(0);
  }

  private void measure() throws IOException, InterruptedException {
    dir = Files.createTempDirectory("gladeknot-restart");
    services.start(dir, CONTROLLERS);
    services.enforceStateLimits();
    for (int i = 0; i < finishedJobs; i++) {
      services.presetState(
          keyPrefix + id(i), JobRecordCodec.encodeDone(1 + i % 40, 1_764_600_000_000_000L + i));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    long startMicros = LoopbackServices.now();
    startAll();
    awaitAllHealthy();
    double firstStart = secondsSince(startMicros);
    killAll();
    long crashMicros = LoopbackServices.now();
    long callsBefore = services.stateCalls();
    LoopbackServices.pause(RESTART_MILLIS);
    startAll();
    await(() -> status(0, "/work/" + id(finishedJobs / 2)) == OK);
    double firstAnswer = secondsSince(crashMicros);
    awaitAllHealthy();
    System.out.printf(
        "%8d  %9.1f s  %10.1f s  %9.1f s  %11d  %7d  %3d MB%n",
        finishedJobs,
        firstStart,
        firstAnswer,
        secondsSince(crashMicros),
        services.stateCalls() - callsBefore,
        services.refusedStateCalls(),
        largestResidentMegabytes());
    killAll();
    services.stop();
  }

  private static String id(int index) {
    return String.format("req-%07d", index);
  }

  private void startAll() throws IOException {
    processes.clear();
    for (int node = 0; node < CONTROLLERS; node++) {
      List<String> command = new ArrayList<>(deployCommand());
      command.add(dir.resolve("node-" + node + ".toml").toString());
      Path log = dir.resolve("node-" + node + ".log");
      processes.add(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start());
    }
  }

  private static List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(DEPLOY_FILE)) {
      if (line.startsWith(RUN)) {
        return List.of(line.substring(RUN.length(), line.length() - 1).split(" "));
      }
    }
    throw new IOException(DEPLOY_FILE + " has no command to run");
  }

  private void killAll() {
    processes.forEach(Process::destroyForcibly);
    processes.forEach(process -> process.onExit().join());
  }

  private void awaitAllHealthy() throws IOException {
    await(() -> IntStream.range(0, CONTROLLERS).allMatch(node -> status(node, "/healthz") == OK));
  }

  private void await(BooleanSupplier condition) throws IOException {
    long deadlineMicros = LoopbackServices.now() + TIMEOUT_MICROS;
    while (!condition.getAsBoolean()) {
      if (LoopbackServices.now() > deadlineMicros) {
        throw new IOException(
            finishedJobs + " finished jobs: not recovered in time, see the logs in " + dir);
      }
      LoopbackServices.pause(POLL_MILLIS);
    }
  }

  private int status(int node, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + services.nodes().get(node) + path))
            .timeout(Duration.ofSeconds(2))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static double secondsSince(long micros) {
    return (LoopbackServices.now() - micros) / 1e6;
  }

  private long largestResidentMegabytes() {
    return processes.stream().mapToLong(RestartMeasurement::residentMegabytes).max().orElse(0);
  }

  private static long residentMegabytes(Process process) {
    try (Stream<String> lines = Files.lines(Path.of("/proc", "" + process.pid(), "status"))) {
      return lines
          .filter(line -> line.startsWith("VmRSS"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
