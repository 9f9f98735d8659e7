package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.TestJobs;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against changes that make stored records unreadable. A controller starts on records that a
 * cluster of three has left. It takes over the shards whose owners are gone, reads every job,
 * attempt, machine and quota, and writes its changes in the same format.
 */
class GoldenReadBackTest {
  private static final int MEMBERS = 3;
  private static final int NODE = 0;
  private static final long FAILOVER_MICROS = 6 * MICROS_PER_SECOND;

  private enum StoredLayout {
    FIRST_LAYOUT(GoldenCluster.FIRST_LAYOUT),
    SPLIT_LAYOUT(GoldenCluster.SPLIT_LAYOUT);

    private final ClusterScale scale;

    StoredLayout(ClusterScale scale) {
      this.scale = scale;
    }

    private String file(String prefix, String suffix) {
      String layout = name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
      return "stored/" + prefix + "-" + layout + suffix;
    }
  }

  private static final List<String> JOBS =
      List.of(
          "req-array",
          "req-gang",
          "req-web",
          "req-next",
          "req-done",
          "req-old-done",
          "req-off",
          "req-unknown");

  private final Map<String, String> results = new LinkedHashMap<>();
  private GoldenCluster cluster;

  @ParameterizedTest
  @EnumSource
  void storedRecordsAreReadAndWrittenInTheSameFormat(StoredLayout layout) throws IOException {
    Map<String, Object> records = Json.object(GoldenFile.bytes(layout.file("left", ".json")));
    cluster = new GoldenCluster(MEMBERS, layout.scale);
    cluster.preload(records);
    cluster.start(NODE);
    cluster.run(FAILOVER_MICROS);
    checkUnchanged(records);
    JOBS.forEach(job -> results.put("GET /work/" + job, poll(job)));
    results.put("submitted again", submit(TestJobs.job("req-array", "array", 12)));
    results.put("submitted again, done", submit(TestJobs.job("req-done", "array", 4)));
    sendHeartbeats();
    submitAboveShare();
    results.put("commits", SentCalls.commits(cluster.calls));
    results.put("stored in the end", cluster.stored(""));
    new GoldenFile(layout.file("read", ".txt")).checkAll(results);
  }

  /** Checks that reading alone changes only the records of shards' owners and of the last term. */
  private void checkUnchanged(Map<String, Object> records) {
    records.forEach(
        (key, data) -> {
          if (!key.startsWith("g/shard/") && !key.equals("g/term")) {
            assertEquals(CanonicalJson.of(data), CanonicalJson.of(cluster.state.get(key)), key);
          }
        });
  }

  /** Sends heartbeats: attempts in the records keep running, one without a record is stopped. */
  private void sendHeartbeats() {
    String running = "\"phase\":\"running\"";
    sendHeartbeat(
        "of a shard taken over", heartbeat("vm-000250", 1, attempt("req-array/9", 21, running)));
    sendHeartbeat(
        "tasks of the records and a stray one",
        heartbeat(
            "vm-000231",
            1,
            attempt("req-array/1", 4, running),
            attempt("req-array/3", 10, running),
            attempt("req-gang/0", 4, running),
            attempt("req-array/2", 6, running)));
    sendHeartbeat(
        "a machine that misses a task",
        heartbeat("vm-000232", 1, attempt("req-gang/1", 4, running)));
    String done = "\"phase\":\"ended\",\"cause\":\"done\"";
    sendHeartbeat(
        "a task is done",
        heartbeat(
            "vm-000231",
            2,
            attempt("req-array/1", 4, done),
            attempt("req-array/3", 10, running),
            attempt("req-gang/0", 4, running)));
    cluster.run(3 * MICROS_PER_SECOND);
    sendHeartbeat(
        "its end is stored",
        heartbeat(
            "vm-000231",
            3,
            attempt("req-array/1", 4, done),
            attempt("req-array/3", 10, running),
            attempt("req-gang/0", 4, running)));
    sendHeartbeat(
        "of another's shard", heartbeat("vm-000240", 1, attempt("req-web/0", 5, running)));
    sendHeartbeat("of another's shard, leaving", heartbeat("vm-000234", 1));
    sendHeartbeat("released", heartbeat("vm-000233", 1));
    results.put("GET /work/req-array then", poll("req-array"));
  }

  private static String attempt(String task, int number, String fields) {
    return "{\"strand\":\"" + task + "\",\"try\":" + number + "," + fields + "}";
  }

  private static String heartbeat(String host, int sequence, String... attempts) {
    return """
        {"host":"%s","endpoint":"%s:9","hosttype":"small","glade":"a","loaners":false,
         "tenure":1,"tick":%d,"fence":7,"recallS":null,"strands":[%s]}"""
        .formatted(host, host, sequence, String.join(",", attempts));
  }

  private void sendHeartbeat(String name, String heartbeat) {
    byte[] body = heartbeat.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    results.put(name, GoldenCluster.text(cluster.request(NODE, "POST", "/hello", body)));
  }

  /** Submits a gang larger than a shard's share; another shard transfers quota in the record. */
  private void submitAboveShare() {
    Map<String, Object> large = TestJobs.job("req-large", "ensemble", 20);
    results.put("submitted, larger than a shard's budget", submit(large));
    cluster.run(10 * MICROS_PER_SECOND);
  }

  private String poll(String job) {
    return cluster.responseText(NODE, "GET", "/work/" + job, null);
  }

  private String submit(Map<String, Object> job) {
    return cluster.responseText(NODE, "POST", "/work", job);
  }
}
