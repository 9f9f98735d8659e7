package gladeknot.golden;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards the operators' commands: runs them as processes, compares exit code and all output. */
class GoldenOperatorsTest {
  private static final Path INPUTS = Path.of("src", "test", "resources", "golden", "operators");
  private static final String MAIN_CLASS = "gladeknot.app.Main";
  private static final long TIMEOUT_SECONDS = 30;
  private static final GoldenFile CHECKS = new GoldenFile("operators/checks.txt");

  private static final List<List<String>> COMMANDS =
      List.of(
          List.of("check-config", "good-settings.toml"),
          List.of("check-config", "empty-settings.toml"),
          List.of("check-config", "faulty-settings.toml"),
          List.of("check-config", "short-cancel.toml"),
          List.of("check-config", "not-toml.toml"),
          List.of("check-config", "missing.toml"),
          List.of("check-config", "good-settings.toml", "--feature", "faulty-feature.toml"),
          List.of("check-config", "good-settings.toml", "--feature", "unknown-feature.toml"),
          List.of("check-config"),
          List.of("check-policy", "good.policy"),
          List.of("check-policy", "faulty.policy"),
          List.of("check-policy", "missing.policy"),
          List.of("--config", "faulty-settings.toml"),
          List.of("--config", "good-settings.toml", "--policy", "faulty.policy"),
          List.of("--feature", "faulty-feature.toml"),
          List.of("--unknown"));

  private static Stream<List<String>> commands() {
    return COMMANDS.stream();
  }

  @ParameterizedTest
  @MethodSource("commands")
  void checkCommandsPrintTheSameLines(List<String> command)
      throws IOException, InterruptedException {
    CHECKS.check(String.join(" ", command), run(command));
  }

  @Test
  void fileHoldsOnlyTextsOfCommands() {
    CHECKS.checkNames(COMMANDS.stream().map(command -> String.join(" ", command)).toList());
  }

  private record StubResponse(int status, String body) {}

  @Test
  void statusPrintsTheSameLines() throws IOException, InterruptedException {
    String statusJson =
        new String(GoldenFile.bytes("operators/status.json"), StandardCharsets.UTF_8);
    Map<String, String> results = new LinkedHashMap<>();
    results.put("status", statusOf(new StubResponse(200, statusJson)));
    results.put("status --json", statusOf(new StubResponse(200, statusJson), "--json"));
    results.put("not found", statusOf(new StubResponse(404, statusJson)));
    results.put("not JSON", statusOf(new StubResponse(200, "hello")));
    results.put("without links", statusOf(new StubResponse(200, "{}")));
    new GoldenFile("operators/status.txt").checkAll(results);
  }

  private static String statusOf(StubResponse response, String... options)
      throws IOException, InterruptedException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HttpServer server = HttpServer.create(anyPort, 5);
    server.createContext(
        "/status",
        exchange -> {
          byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(response.status(), body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    try {
      String address = "127.0.0.1:" + server.getAddress().getPort();
      List<String> command = new ArrayList<>(List.of("status", address));
      command.addAll(List.of(options));
      return run(command).replace(address, "ADDRESS");
    } finally {
      server.stop(0);
    }
  }

  /** Runs a command in the directory of its inputs; returns its output and exit code as text. */
  private static String run(List<String> arguments) throws IOException, InterruptedException {
    List<String> commandLine = new ArrayList<>();
    commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    commandLine.add("-cp");
    commandLine.add(absoluteClassPath());
    commandLine.add(MAIN_CLASS);
    commandLine.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(commandLine);
    builder.environment().keySet().removeAll(List.of("JAVA_TOOL_OPTIONS", "LOG_LEVEL"));
    Process process = builder.directory(INPUTS.toFile()).redirectErrorStream(true).start();
    process.getOutputStream().close();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new AssertionError(arguments + ": no exit within the timeout");
    }
    return output + "exit " + process.exitValue();
  }

  private static String absoluteClassPath() {
    List<String> entries = new ArrayList<>();
    for (String entry : System.getProperty("java.class.path").split(":")) {
      entries.add(Path.of(entry).toAbsolutePath().toString());
    }
    return String.join(":", entries);
  }
}
