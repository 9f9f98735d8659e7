package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.json.Json;
import gladeknot.standin.TestJobs;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the responses to workers' heartbeats that {@link GoldenLifeTest} does not cover. */
class GoldenWorkersTest {
  private static final int MEMBERS = 3;
  private static final String HOST = "vm-000231";
  private static final String MACHINE = "0|small|a|o|1699999900000000|";
  private static final long MINUTE_MICROS = 60 * MICROS_PER_SECOND;

  private final Map<String, String> results = new LinkedHashMap<>();

  /** Returns a cluster with the given controllers started and one machine of the first shard. */
  private static GoldenCluster cluster(int... started) {
    GoldenCluster cluster = new GoldenCluster(MEMBERS, GoldenCluster.FIRST_LAYOUT);
    cluster.preload(Map.of("g/w/vm-00023-", Map.of("1", MACHINE)));
    return cluster.start(started).run(5 * MICROS_PER_SECOND);
  }

  private static long term(GoldenCluster cluster, int shard) {
    return Json.longValue(cluster.state.get("g/shard/" + shard), "term", 0);
  }

  private record Malformed(String field, Object value) {
    private String name() {
      return field + "=" + (value == Malformed.class ? "(absent)" : CanonicalJson.of(value));
    }

    private Map<String, Object> heartbeat() {
      Map<String, Object> heartbeat =
          Heartbeats.of(HOST, 1, 0, Heartbeats.ended("req-other/0", 2, "done"));
      Map<String, Object> attempt = Json.objects(heartbeat, "strands").get(0);
      Map<String, Object> target = field.startsWith(IN_ATTEMPT) ? attempt : heartbeat;
      String name = field.replace(IN_ATTEMPT, "");
      if (value == Malformed.class) {
        target.remove(name);
      } else {
        target.put(name, value);
      }
      return heartbeat;
    }
  }

  private static final String IN_ATTEMPT = "strands.";

  private static List<Malformed> malformed() {
    List<Malformed> cases = new ArrayList<>();
    for (String textField : List.of("host", "endpoint", "hosttype", "glade", "strands.phase")) {
      for (Object value : new Object[] {Malformed.class, "", 3}) {
        cases.add(new Malformed(textField, value));
      }
    }
    for (String wholeNumberField : List.of("tenure", "tick", "fence", "strands.try")) {
      for (Object value : new Object[] {Malformed.class, -1, 1.5, "1"}) {
        cases.add(new Malformed(wholeNumberField, value));
      }
    }
    for (Object value : new Object[] {Malformed.class, "req-a", "/1", "req-a/x", "req-a/1234567"}) {
      cases.add(new Malformed("strands.strand", value));
    }
    for (String optionalField : List.of("recallS", "strands", "loaners", "strands.cause")) {
      for (Object value : new Object[] {Malformed.class, "text"}) {
        cases.add(new Malformed(optionalField, value));
      }
    }
    cases.add(new Malformed("recallS", 40.5));
    cases.add(new Malformed("unknownField", 1));
    return cases;
  }

  @Test
  void malformedHeartbeatsAreRefused() {
    for (Malformed malformed : malformed()) {
      GoldenCluster cluster = cluster(0);
      results.put(
          malformed.name(), cluster.responseText(0, "POST", "/hello", malformed.heartbeat()));
    }
    new GoldenFile("workers/malformed-heartbeats.txt").checkAll(results);
  }

  @Test
  void heartbeatsAreRefusedOrRedirected() {
    GoldenCluster fresh = new GoldenCluster(MEMBERS, GoldenCluster.FIRST_LAYOUT).start(0);
    put("before the state is read", fresh, 0, Heartbeats.of(HOST, 1, 0));
    GoldenCluster cluster = cluster(0, 1);
    long tokenAboveTerm = Json.longValue(cluster.state.get("g/term"), "n", 0);
    put("to another controller", cluster, 1, Heartbeats.of(HOST, 1, 0));
    put("to its own", cluster, 0, Heartbeats.of(HOST, 2, 0));
    cluster.machineResponses = call -> null;
    put("older than the last", cluster, 0, Heartbeats.of(HOST, 1, 0));
    put("a machine nobody knows", cluster, 0, Heartbeats.of("vm-000300", 1, 0));
    cluster.run(MICROS_PER_SECOND);
    put("once it is entered", cluster, 0, Heartbeats.of("vm-000300", 2, 0));
    put("a token above the term", cluster, 0, Heartbeats.of(HOST, 3, tokenAboveTerm));
    cluster.run(2 * MICROS_PER_SECOND);
    put("under the new term", cluster, 0, Heartbeats.of(HOST, 4, tokenAboveTerm));
    results.put("calls to the machine", directCalls(cluster));
    results.put("stored machines", cluster.stored("g/w/"));
    results.put("stored shards", cluster.stored("g/shard/") + "\n" + cluster.stored("g/term"));
    new GoldenFile("workers/refused.txt").checkAll(results);
  }

  /**
   * A worker with tasks is redirected to its owner first. When it comes back, the other controller
   * answers as a delegate of the owner. It leaves tasks of unfinished jobs alone and kills others.
   */
  @Test
  void delegateRenewsLeasesForTheOwner() {
    GoldenCluster cluster = cluster(0, 1);
    long term = term(cluster, 0);
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-live", "ensemble", 20));
    cluster.run(MICROS_PER_SECOND);
    Object live = Heartbeats.running("req-live/0", 1);
    Object task = Heartbeats.running("req-unknown/0", 4);
    put("first time", cluster, 1, Heartbeats.of(HOST, 1, term, live, task));
    put("back again", cluster, 1, Heartbeats.of(HOST, 2, term, live, task));
    results.put("stored", cluster.stored("g/care/"));
    results.put("commits", SentCalls.commitsOf(cluster.calls, "g/care/"));
    new GoldenFile("workers/delegation.txt").checkAll(results);
  }

  /**
   * A task with checkpoints that is preempted for a job of higher priority gets a grace period in
   * which it can save a checkpoint.
   */
  @Test
  void preemptedTaskGetsAGracePeriod() {
    GoldenCluster cluster = cluster(0);
    Map<String, Object> low = TestJobs.job("req-low", "array", 1);
    low.putAll(Map.of("rank", "idle", "cores", 4.0, "snapshotS", 30.0, "flushS", 4.0));
    cluster.responseText(0, "POST", "/work", low);
    Map<String, Object> start = awaitCommand(cluster, "run");
    Object running =
        Heartbeats.running(Json.text(start, "strand"), Json.longValue(start, "try", 0));
    Map<String, Object> high = TestJobs.job("req-high", "service", 1);
    high.put("cores", 4.0);
    high.put("hosttypes", List.of("small"));
    high.put("glade", "a");
    cluster.responseText(0, "POST", "/work", high);
    results.put("start", CanonicalJson.of(start));
    results.put("stop", CanonicalJson.of(awaitCommand(cluster, "kill", running)));
    new GoldenFile("workers/preemption.txt").checkAll(results);
  }

  private static final List<String> CAUSES =
      List.of("done", "halted", "peers", "incomplete", "error", "no_room", "busy", "no_such");

  /** For every cause, the end is stored before the worker is told to purge the attempt. */
  @Test
  void attemptEndIsStoredBeforeThePurgeCommand() {
    for (String cause : CAUSES) {
      sequence = 0;
      GoldenCluster cluster = cluster(0);
      cluster.responseText(0, "POST", "/work", TestJobs.job("req-a", "array", 1));
      Map<String, Object> start = awaitCommand(cluster, "run");
      Object ended =
          Heartbeats.ended(Json.text(start, "strand"), Json.longValue(start, "try", 0), cause);
      results.put(cause, CanonicalJson.of(awaitCommand(cluster, "reap", ended)));
      String stored = cluster.stored("g/sl/") + "\n" + cluster.stored("g/job/");
      results.put(cause + ", stored", stored);
    }
    new GoldenFile("workers/ends.txt").checkAll(results);
  }

  /** A reported task in any phase before its end is neither killed nor started again. */
  @Test
  void tasksInAnyPhaseAreKept() {
    GoldenCluster cluster = cluster(0);
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-a", "array", 1));
    Map<String, Object> start = awaitCommand(cluster, "run");
    for (String phase : List.of("fetching", "waiting", "running", "saving")) {
      sequence++;
      Map<String, Object> task =
          Heartbeats.running(Json.text(start, "strand"), Json.longValue(start, "try", 0));
      task.put("phase", phase);
      put(phase, cluster, 0, Heartbeats.of(HOST, sequence, term(cluster, 0), task));
      results.put(phase + ", polled", cluster.responseText(0, "GET", "/work/req-a", null));
    }
    new GoldenFile("workers/phases.txt").checkAll(results);
  }

  private int sequence;

  private Map<String, Object> awaitCommand(GoldenCluster cluster, String verb, Object... attempts) {
    List<Map<String, Object>> found = new ArrayList<>();
    cluster.await(
        verb,
        MINUTE_MICROS,
        () -> {
          sequence++;
          Map<String, Object> heartbeat = Heartbeats.of(HOST, sequence, term(cluster, 0), attempts);
          cluster.run(MICROS_PER_SECOND / 2);
          byte[] body = cluster.request(0, "POST", "/hello", Json.bytes(heartbeat)).body();
          Json.objects(object(body), "orders").stream()
              .filter(command -> verb.equals(command.get("verb")))
              .forEach(found::add);
          return !found.isEmpty();
        });
    assertEquals(1, found.size());
    return found.get(0);
  }

  private static Map<String, Object> object(byte[] body) {
    try {
      return Json.object(body);
    } catch (java.io.IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void put(String name, GoldenCluster cluster, int node, Map<String, Object> heartbeat) {
    results.put(name, cluster.responseText(node, "POST", "/hello", heartbeat));
  }

  private static String directCalls(GoldenCluster cluster) {
    List<String> texts = new ArrayList<>();
    for (GoldenCluster.SentCall sent : cluster.calls) {
      if (sent.call().address().startsWith("vm-")) {
        texts.add(sent.text());
      }
    }
    return String.join("\n", texts);
  }
}
