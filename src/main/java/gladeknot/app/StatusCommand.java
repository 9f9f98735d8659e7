package gladeknot.app;

import gladeknot.json.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Prints the links, shards and authority of a running controller. */
final class StatusCommand {
  static final String DEFAULT_ADDRESS = "127.0.0.1:7171";
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int OK = 200;
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;

  private final PrintStream out;
  private final PrintStream err;

  StatusCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Fetches the status from the listener at host:port and prints it; returns the exit code. */
  int run(String address, boolean json) {
    HttpResponse<byte[]> response;
    try {
      response = fetchStatus(address);
    } catch (HttpConnectTimeoutException | ConnectException e) {
      return fail(address + ": nothing listens there; is partial-cuts turned on with [status]?");
    } catch (HttpTimeoutException e) {
      return fail(address + ": no answer within " + TIMEOUT.toSeconds() + " s");
    } catch (IOException | IllegalArgumentException e) {
      return fail(address + ": not an operators' listener: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return fail("interrupted");
    }
    return handleResponse(address, response, json);
  }

  private int handleResponse(String address, HttpResponse<byte[]> response, boolean json) {
    if (response.statusCode() != OK) {
      return fail(address + ": answers " + response.statusCode() + "; not an operators' listener");
    }
    Map<String, Object> status;
    try {
      status = Json.object(response.body());
    } catch (IOException e) {
      return fail(address + ": does not answer with JSON; not an operators' listener");
    }
    if (!status.containsKey("links")) {
      return fail(address + ": answers without links; an older version, or another service");
    }
    if (json) {
      out.println(new String(response.body(), StandardCharsets.UTF_8));
    } else {
      printStatus(status);
    }
    return EXIT_OK;
  }

  private static HttpResponse<byte[]> fetchStatus(String address)
      throws IOException, InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    URI uri = URI.create("http://" + address + StatusListener.PATH);
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  private int fail(String message) {
    err.println(message);
    return EXIT_FAILURE;
  }

  private void printStatus(Map<String, Object> status) {
    out.println(status.get("node") + " at " + status.get("time"));
    printTable("members", status, List.of("node", "heardAgoS", "stateSteady"));
    printTable(
        "shards",
        status,
        List.of("shard", "home", "owner", "term", "workers", "authority", "offeredTo", "cause"));
    printTable(
        "links",
        status,
        List.of("link", "direction", "verdict", "sinceS", "provenAgoS", "penalty"));
    printTable("changes", status, List.of("time", "shard", "from", "to", "cause"));
  }

  private void printTable(String name, Map<String, Object> status, List<String> columns) {
    List<Map<String, Object>> rows = Json.objects(status, name);
    out.println();
    out.println(name + (rows.isEmpty() ? ": none" : ""));
    if (rows.isEmpty()) {
      return;
    }
    int[] widths = columnWidths(rows, columns);
    printRow(columns, widths);
    for (Map<String, Object> row : rows) {
      printRow(columns.stream().map(column -> cell(row.get(column))).toList(), widths);
    }
  }

  /** Computes the width of each column from its name and its cells. */
  private static int[] columnWidths(List<Map<String, Object>> rows, List<String> columns) {
    int[] widths = columns.stream().mapToInt(String::length).toArray();
    for (Map<String, Object> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], cell(row.get(columns.get(i))).length());
      }
    }
    return widths;
  }

  private void printRow(List<String> cells, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append("  ").append(cells.get(i));
      line.append(" ".repeat(widths[i] - cells.get(i).length()));
    }
    out.println(line.toString().stripTrailing());
  }

  private static String cell(Object value) {
    return value == null ? "-" : String.valueOf(value);
  }
}
