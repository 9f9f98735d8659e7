package gladeknot.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid requests are refused with the right status and the name of the field. */
class RequestsTest {
  private static SimulatedCluster runningCluster() {
    SimulatedCluster cluster = new SimulatedCluster(3, 30);
    cluster.run(3 * SimulatedCluster.MICROS_PER_SECOND);
    return cluster;
  }

  @ParameterizedTest
  @CsvSource({
    "id, 'job-1', 400",
    "id, 'req-', 400",
    "id, 'req-a b', 400",
    "strands, 0, 400",
    "strands, 100001, 400",
    "strands, 1.5, 400",
    "cores, 0, 400",
    "cores, -1.0, 400",
    "cores, 'x', 400",
    "accelerators, -1, 400",
    "memoryGb, 0.0, 400",
    "shape, 'ring', 400",
    "rank, 'boss', 400",
    "owner, 3, 400",
    "hosttypes, 'small', 400",
    "together, 1, 400",
    "guessS, -1, 400",
    "dueS, 'soon', 400",
    "owner, 'nobody', 422",
    "cores, 25.0, 422",
    "cores, 5.0, 422",
    "memoryGb, 17.0, 422",
    "cores, 3.0, 201",
  })
  void submissionsAreValidated(String field, String value, int status) {
    Map<String, Object> job = new HashMap<>(TestJobs.job("req-1", "array", 2));
    Object typedValue = value;
    if (value.matches("-?[0-9]+")) {
      typedValue = Integer.parseInt(value);
    } else if (value.matches("-?[0-9.]+")) {
      typedValue = Double.parseDouble(value);
    }
    job.put(field, typedValue);
    SimulatedCluster cluster = runningCluster();
    int[] actualStatus = {0};
    String[] body = {""};
    cluster.request(
        0,
        "POST",
        "/work",
        job,
        answer -> {
          actualStatus[0] = answer.status();
          body[0] = new String(answer.body(), StandardCharsets.UTF_8);
        });
    cluster.run(SimulatedCluster.MICROS_PER_SECOND);
    assertEquals(status, actualStatus[0], body[0]);
    assertTrue(status == 201 || body[0].contains(field), body[0]);
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /healthz, 200",
    "POST, /healthz, 405",
    "GET, /work, 405",
    "PUT, /work/req-1, 405",
    "GET, /work/req-1/abort, 405",
    "GET, /work/req-1, 404",
    "POST, /work/req-1/abort, 404",
    "GET, /work/nonsense, 404",
    "GET, /elsewhere, 404",
    "POST, /work, 400",
    "POST, /hello, 400",
  })
  void pathsAndMethodsAreValidated(String method, String path, int status) {
    SimulatedCluster cluster = runningCluster();
    int[] actualStatus = {0};
    cluster.request(0, method, path, List.of(), answer -> actualStatus[0] = answer.status());
    cluster.run(SimulatedCluster.MICROS_PER_SECOND);
    assertEquals(status, actualStatus[0]);
  }

  @ParameterizedTest
  @CsvSource({"host", "tenure", "tick", "fence", "endpoint"})
  void heartbeatsWithoutRequiredFieldAreRejected(String field) {
    SimulatedCluster cluster = runningCluster();
    Map<String, Object> heartbeat =
        Json.of(
            "host",
            "vm-1",
            "endpoint",
            "vm-1:9",
            "hosttype",
            "small",
            "glade",
            "a",
            "loaners",
            false,
            "tenure",
            1,
            "tick",
            1,
            "fence",
            0,
            "strands",
            List.of());
    heartbeat.remove(field);
    int[] actualStatus = {0};
    cluster.request(0, "POST", "/hello", heartbeat, answer -> actualStatus[0] = answer.status());
    cluster.run(SimulatedCluster.MICROS_PER_SECOND);
    assertEquals(400, actualStatus[0]);
    assertEquals(List.of(), cluster.state().keys("g/w/"));
  }
}
