package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.TestJobs;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards the records and calls of a controller against unintended changes. One controller with one
 * machine runs an array, a service that is cancelled and a gang, then releases the machine. Every
 * record and call is compared, in the first version's layout and with split segments.
 */
class GoldenLifeTest {
  private static final int NODE = 0;
  private static final long LONG_WAIT_MICROS = 90 * MICROS_PER_SECOND;
  private static final int MAX_HEARTBEATS = 20;
  private static final long SETTLE_MICROS = 2 * MICROS_PER_SECOND;

  private enum Layout {
    FIRST(GoldenCluster.FIRST_LAYOUT),
    SPLIT(GoldenCluster.SPLIT_LAYOUT);

    private final ClusterScale scale;

    Layout(ClusterScale scale) {
      this.scale = scale;
    }

    private String directory() {
      return "life-" + name().toLowerCase(java.util.Locale.ROOT) + "-layout/";
    }
  }

  private final Map<String, String> stored = new LinkedHashMap<>();
  private final Map<String, String> heartbeats = new LinkedHashMap<>();
  private final Map<String, String> polls = new LinkedHashMap<>();
  private GoldenCluster cluster;
  private GoldenWorker worker;

  @ParameterizedTest
  @EnumSource
  void storedRecordsAndCallsMatchTheGoldenFiles(Layout layout) {
    cluster = new GoldenCluster(1, layout.scale).start(NODE);
    cluster.run(3 * MICROS_PER_SECOND);
    recordStored("1 started");
    rentMachine();
    runArray();
    cancelService();
    runGang();
    releaseMachine();
    String directory = layout.directory();
    new GoldenFile(directory + "stored.txt").checkAll(stored);
    new GoldenFile(directory + "heartbeats.txt").checkAll(heartbeats);
    new GoldenFile(directory + "polls.txt").checkAll(polls);
    new GoldenFile(directory + "calls.txt").checkAll(SentCalls.numbered(cluster.calls));
  }

  private void rentMachine() {
    submit("req-array", "array", 3);
    cluster.await("a machine", LONG_WAIT_MICROS, () -> !cluster.state.keys("g/w/").isEmpty());
    recordStored("2 machine rented");
    cluster.run(4 * MICROS_PER_SECOND);
    worker = new GoldenWorker(cluster, cluster.cloud.machines().get(0));
  }

  private void runArray() {
    heartbeatUntil("1 first, answered with starts", () -> worker.runs("req-array/2"));
    recordStored("3 array running");
    cluster.run(MICROS_PER_SECOND);
    heartbeat("2 running");
    poll("1 array running", "req-array");
    cluster.run(GoldenWorker.RUN_MICROS);
    heartbeat("3 ended");
    cluster.run(SETTLE_MICROS);
    heartbeat("4 ended again, answered with reaps");
    poll("2 array done", "req-array");
    recordStored("4 array done");
  }

  private void cancelService() {
    submit("req-web", "service", 1);
    cluster.run(SETTLE_MICROS);
    heartbeatUntil("5 answered with the start of a replica", () -> worker.runs("req-web/0"));
    recordStored("5 service running");
    polls.put("3 cancelled", cluster.responseText(NODE, "POST", "/work/req-web/abort", null));
    cluster.run(SETTLE_MICROS);
    assertTrue(!worker.runs("req-web/0"), "the direct command did not stop req-web/0");
    heartbeat("6 stopped by a direct command");
    cluster.run(SETTLE_MICROS);
    heartbeat("7 stopped, answered with a reap");
    poll("4 service cancelled", "req-web");
    recordStored("6 service cancelled");
  }

  private void runGang() {
    submit("req-gang", "ensemble", 2);
    cluster.run(SETTLE_MICROS);
    heartbeatUntil("8 answered with the starts of a gang", () -> worker.runs("req-gang/1"));
    recordStored("7 gang running");
    // Cancelled, but the direct command is lost: the next heartbeat response repeats it.
    cluster.machineResponses = call -> null;
    polls.put("5 gang cancelled", cluster.responseText(NODE, "POST", "/work/req-gang/abort", null));
    heartbeat("9 answered with kills");
    heartbeat("10 killed, answered with reaps");
    cluster.run(SETTLE_MICROS);
    heartbeat("11 nothing left");
    recordStored("8 gang cancelled");
  }

  /**
   * Waits for the release of the idle machine, which sends no heartbeats. Its record is first
   * marked as being released. Once the instance is deleted, a permanent marker replaces the record.
   */
  private void releaseMachine() {
    cluster.wallClockMicros += LONG_WAIT_MICROS;
    cluster.await(
        "the machine's return", LONG_WAIT_MICROS, () -> cluster.cloud.machines().isEmpty());
    cluster.run(SETTLE_MICROS);
    heartbeat("12 of a released machine");
    recordStored("9 machine released");
  }

  private void submit(String id, String shape, int tasks) {
    Map<String, Object> job = TestJobs.job(id, shape, tasks);
    // The one machine is a spot machine, since the first job allows it.
    job.put("loaners", true);
    cluster.responseText(NODE, "POST", "/work", job);
  }

  private void poll(String name, String id) {
    polls.put(name, cluster.responseText(NODE, "GET", "/work/" + id, null));
  }

  private void heartbeat(String name) {
    heartbeats.put(name, worker.heartbeat(NODE));
  }

  /** Sends heartbeats until a condition holds and keeps the last one with its response. */
  private void heartbeatUntil(String name, BooleanSupplier condition) {
    heartbeat(name);
    for (int i = 0; !condition.getAsBoolean(); i++) {
      assertTrue(i < MAX_HEARTBEATS, name);
      cluster.run(MICROS_PER_SECOND / 2);
      heartbeat(name);
    }
  }

  private void recordStored(String name) {
    stored.put(name, cluster.stored(""));
  }
}
