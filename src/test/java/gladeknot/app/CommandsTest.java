package gladeknot.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Commands as an operator runs them: exit codes and one line per fault. */
class CommandsTest {
  @TempDir Path dir;

  private record Output(int code, List<String> lines) {}

  /** Runs a command and captures its standard output and error. */
  private static Output run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream captured = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    System.setOut(captured);
    System.setErr(captured);
    try {
      int code = Main.run(args);
      return new Output(code, bytes.toString(StandardCharsets.UTF_8).lines().toList());
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  @Test
  void invalidFeatureFilesAreListedAndPreventStart() throws IOException {
    Path settings = Files.writeString(dir.resolve("node.toml"), "node_name = \"a\"\n");
    Path invalid =
        Files.writeString(
            dir.resolve("wrong.toml"),
            "feature = \"partial-cuts\"\nx = 1\n[links]\nheartbeat_s = -1\n");
    String feature = invalid.toString();
    String missing = dir.resolve("missing.toml").toString();
    Output check =
        run("check-config", settings.toString(), "--feature", feature, "--feature", missing);
    assertEquals(2, check.code());
    List<String> expectedLines =
        List.of(
            invalid + ": links.heartbeat_s: must be",
            invalid + ": x: unknown field",
            missing + ": can't be read");
    for (String line : expectedLines) {
      assertEquals(
          1,
          check.lines().stream().filter(text -> text.startsWith(line)).count(),
          check.toString());
    }
    assertTrue(check.lines().stream().anyMatch(text -> text.contains("node.toml: external")));
    assertEquals(2, run("--feature", feature, "--config", settings.toString()).code());
    assertEquals(2, run("--feature").code());
  }

  @Test
  void shippedFeatureFilesAreValid() {
    for (String file : List.of("deploy/partial-cuts.toml")) {
      Output check = run("check-config", dir.resolve("none").toString(), "--feature", file);
      assertEquals(1, check.lines().size(), check.toString());
    }
  }

  private static String serve(int status, String body) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
    server.createContext(
        "/",
        exchange -> {
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void assertStatusFails(String address, String expectedCause) {
    Output output = run("status", address);
    assertEquals(1, output.code());
    assertEquals(1, output.lines().size(), output.toString());
    String line = output.lines().get(0);
    assertTrue(line.startsWith(address + ": ") && line.contains(expectedCause), line);
  }

  @Test
  void statusPrintsErrorInOneLine() throws IOException {
    int freePort;
    try (ServerSocket socket = new ServerSocket(0)) {
      freePort = socket.getLocalPort();
    }
    assertStatusFails("127.0.0.1:" + freePort, "nothing listens there");
    assertStatusFails(serve(404, "{}"), "answers 404");
    assertStatusFails(serve(200, "hello"), "does not answer with JSON");
    assertStatusFails(serve(200, "{\"ok\":true}"), "an older version");
    assertStatusFails("not an address", "not an operators' listener");
  }

  @Test
  void statusPrintsTablesOrJson() throws IOException {
    String body =
        "{\"node\":\"a\",\"time\":\"t\",\"members\":[],\"shards\":[{\"shard\":0,\"owner\":\"a\"}],"
            + "\"links\":[{\"link\":\"state\",\"verdict\":\"suspect\"}],\"changes\":[]}";
    String address = serve(200, body);
    Output tables = run("status", address);
    assertEquals(0, tables.code());
    assertTrue(tables.lines().contains("members: none"), tables.toString());
    assertTrue(
        tables.lines().stream()
            .anyMatch(text -> text.strip().startsWith("state  -") && text.contains("suspect")),
        tables.toString());
    assertEquals(List.of(body), run("status", address, "--json").lines());
  }
}
