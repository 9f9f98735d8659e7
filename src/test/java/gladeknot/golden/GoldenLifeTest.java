package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.TestJobs;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One controller with one machine serves an array, a service that is cancelled and a gang, then
 * gives the machine back. All that it stores and sends on the way is compared, in the first
 * version's layout of records and in the split one.
 */
class GoldenLifeTest {
  private static final int NODE = 0;
  private static final long LONG = 90 * SECOND;
  private static final int MOST_HEARTBEATS = 20;
  private static final long ENOUGH_TO_SETTLE = 2 * SECOND;

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
  void everythingStoredAndSentIsAsRecorded(Layout layout) {
    cluster = new GoldenCluster(1, layout.scale).start(NODE);
    cluster.run(3 * SECOND);
    keep("1 started");
    rent();
    runArray();
    cancelService();
    runGang();
    giveBack();
    String directory = layout.directory();
    new GoldenFile(directory + "stored.txt").checkAll(stored);
    new GoldenFile(directory + "heartbeats.txt").checkAll(heartbeats);
    new GoldenFile(directory + "polls.txt").checkAll(polls);
    new GoldenFile(directory + "calls.txt").checkAll(SentCalls.numbered(cluster.calls));
  }

  private void rent() {
    submit("req-array", "array", 3);
    cluster.await("a machine", LONG, () -> !cluster.state.keys("g/w/").isEmpty());
    keep("2 machine rented");
    cluster.run(4 * SECOND);
    worker = new GoldenWorker(cluster, cluster.cloud.machines().get(0));
  }

  private void runArray() {
    heartbeatUntil("1 first, answered with starts", () -> worker.runs("req-array/2"));
    keep("3 array running");
    cluster.run(SECOND);
    heartbeat("2 running");
    poll("1 array running", "req-array");
    cluster.run(GoldenWorker.RUN_MICROS);
    heartbeat("3 ended");
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeat("4 ended again, answered with reaps");
    poll("2 array done", "req-array");
    keep("4 array done");
  }

  private void cancelService() {
    submit("req-web", "service", 1);
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeatUntil("5 answered with the start of a replica", () -> worker.runs("req-web/0"));
    keep("5 service running");
    polls.put("3 cancelled", cluster.asked(NODE, "POST", "/work/req-web/abort", null));
    cluster.run(ENOUGH_TO_SETTLE);
    assertTrue(!worker.runs("req-web/0"), "the direct command did not reach it");
    heartbeat("6 stopped by a direct command");
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeat("7 stopped, answered with a reap");
    poll("4 service cancelled", "req-web");
    keep("6 service cancelled");
  }

  private void runGang() {
    submit("req-gang", "ensemble", 2);
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeatUntil("8 answered with the starts of a gang", () -> worker.runs("req-gang/1"));
    keep("7 gang running");
    // Cancelled, but the direct command is lost: the next heartbeat response repeats it.
    cluster.machines = call -> null;
    polls.put("5 gang cancelled", cluster.asked(NODE, "POST", "/work/req-gang/abort", null));
    heartbeat("9 answered with kills");
    heartbeat("10 killed, answered with reaps");
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeat("11 nothing left");
    keep("8 gang cancelled");
  }

  /** A machine without heartbeats is marked, deleted, and leaves a permanent mark. */
  private void giveBack() {
    cluster.dayTimeMicros += LONG;
    cluster.await("the machine's return", LONG, () -> cluster.cloud.machines().isEmpty());
    cluster.run(ENOUGH_TO_SETTLE);
    heartbeat("12 of a released machine");
    keep("9 machine released");
  }

  private void submit(String id, String shape, int tasks) {
    Map<String, Object> job = TestJobs.job(id, shape, tasks);
    // The one machine is a spot machine, since the first job allows it.
    job.put("loaners", true);
    cluster.asked(NODE, "POST", "/work", job);
  }

  private void poll(String name, String id) {
    polls.put(name, cluster.asked(NODE, "GET", "/work/" + id, null));
  }

  private void heartbeat(String name) {
    heartbeats.put(name, worker.heartbeat(NODE));
  }

  /** Keeps the last of the heartbeats that it takes until something holds. */
  private void heartbeatUntil(String name, BooleanSupplier holds) {
    heartbeat(name);
    for (int i = 0; !holds.getAsBoolean(); i++) {
      assertTrue(i < MOST_HEARTBEATS, name);
      cluster.run(SECOND / 2);
      heartbeat(name);
    }
  }

  private void keep(String name) {
    stored.put(name, cluster.stored(""));
  }
}
