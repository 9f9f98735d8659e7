package gladeknot.app;

import static gladeknot.standin.LoopbackCluster.peerLink;
import static gladeknot.standin.LoopbackCluster.stateLink;
import static gladeknot.standin.LoopbackCluster.workerLink;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.DirectionalProxy.Direction;
import gladeknot.standin.DirectionalProxy.Mode;
import gladeknot.standin.LoopbackCluster;
import gladeknot.standin.LoopbackUsers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Asymmetric partitions between real processes: three controllers on loopback while users submit,
 * poll and cancel. Traffic is dropped in single directions and restored. The recorded history is
 * checked at the end.
 */
class PartialCutsLoopbackTest {
  private static final int CONTROLLERS = 3;
  private static final long SEED = 20261202;
  private static final long SUBMIT_INTERVAL_MILLIS = 400;

  @TempDir Path dir;

  private static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the condition holds and returns the seconds waited; fails on a timeout. */
  private static double await(String what, double seconds, BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      double waitedSeconds = (System.nanoTime() - startNanos) / 1e9;
      assertTrue(waitedSeconds < seconds, what + ": not within " + seconds + " s");
      pause(0.1);
    }
    return (System.nanoTime() - startNanos) / 1e9;
  }

  @Test
  void everyJobEndsOnceUnderAsymmetricPartitions() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster(dir, CONTROLLERS, true)) {
      await("each shard with its home", 40, cluster::eachShardHasItsHome);
      LoopbackUsers users =
          new LoopbackUsers(
              cluster.services().nodes(), cluster.history(), SEED, SUBMIT_INTERVAL_MILLIS);
      Thread thread = new Thread(users, "users");
      thread.setDaemon(true);
      thread.start();
      pause(4);

      dropStateAnswers(cluster, users);
      flapWorkerLink(cluster);
      restartWhilePartitioned(cluster);

      users.stop();
      thread.join(60_000);
      passAllTraffic(cluster);
      await("an end for every job", 60, () -> allEnded(cluster, users));
      assertEquals(List.of(), cluster.history().violations(System.nanoTime() / 1000));
      assertEquals(List.of(), cluster.loggedFaults());
      assertTrue(cluster.history().starts() > 50, "only " + cluster.history().starts());
    }
  }

  private static void passAllTraffic(LoopbackCluster cluster) {
    for (int i = 0; i < CONTROLLERS; i++) {
      for (Direction direction : Direction.values()) {
        cluster.setMode(stateLink(i), direction, Mode.PASS);
        cluster.setMode(workerLink(i), direction, Mode.PASS);
        for (int j = 0; j < CONTROLLERS; j++) {
          cluster.setMode(peerLink(i, j), direction, Mode.PASS);
        }
      }
    }
  }

  private static boolean allEnded(LoopbackCluster cluster, LoopbackUsers users) {
    Set<String> unfinished = cluster.history().unfinishedJobs();
    unfinished.forEach(users::poll);
    return cluster.history().unfinishedJobs().isEmpty();
  }

  /** State requests arrive but answers are lost: the shard moves and refusals state the cause. */
  private void dropStateAnswers(LoopbackCluster cluster, LoopbackUsers users) throws Exception {
    cluster.setMode(stateLink(0), Direction.ANSWERS, Mode.DROP);
    double elapsedSeconds = await("shard 0 moves", 15, () -> !"node-0".equals(cluster.owner(0)));
    System.out.printf("shard 0 moved %.1f s after the cut%n", elapsedSeconds);
    Optional<HttpResponse<byte[]>> refusal =
        users.send(
            cluster.services().nodes().get(0),
            "GET",
            "/work/req-unknown",
            new byte[0],
            Duration.ofSeconds(3));
    assertEquals(503, refusal.orElseThrow().statusCode());
    assertTrue(refusal.get().headers().firstValue("Retry-After").isPresent());
    String body = new String(refusal.get().body(), StandardCharsets.UTF_8);
    assertTrue(body.contains("the state service can't be reached: state"), body);
    assertFalse(reachesState(cluster, 0));
    assertTrue(status(cluster, 0, false).contains("no new orders"));
    assertTrue(cluster.log(0).contains("authority for shard 0: no new orders after full"));
    cluster.setMode(stateLink(0), Direction.ANSWERS, Mode.PASS);
    await("node-0 serves again", 30, () -> reachesState(cluster, 0));
  }

  private static String status(LoopbackCluster cluster, int node, boolean json) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    assertEquals(0, new StatusCommand(out, out).run(cluster.statusAddress(node), json));
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Returns whether a controller reports no unreachable direction to the state service. */
  private static boolean reachesState(LoopbackCluster cluster, int node) {
    byte[] status = status(cluster, node, true).getBytes(StandardCharsets.UTF_8);
    try {
      List<Map<String, Object>> links = Json.objects(Json.object(status), "links");
      return links.stream()
          .filter(link -> "state".equals(link.get("link")))
          .noneMatch(link -> "unreachable".equals(link.get("verdict")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void flapWorkerLink(LoopbackCluster cluster) {
    for (int i = 0; i < 6; i++) {
      cluster.setMode(workerLink(1), Direction.ANSWERS, Mode.DROP);
      pause(1);
      cluster.setMode(workerLink(1), Direction.ANSWERS, Mode.PASS);
      cluster.setMode(stateLink(2), Direction.REQUESTS, i % 2 == 0 ? Mode.REFUSE : Mode.PASS);
      pause(1);
    }
    cluster.setMode(stateLink(2), Direction.REQUESTS, Mode.PASS);
  }

  private static void restartWhilePartitioned(LoopbackCluster cluster) throws Exception {
    cluster.setMode(stateLink(1), Direction.REQUESTS, Mode.DROP);
    cluster.setMode(peerLink(1, 2), Direction.REQUESTS, Mode.DROP);
    pause(5);
    cluster.kill(1);
    cluster.setMode(stateLink(1), Direction.REQUESTS, Mode.PASS);
    cluster.start(1);
    pause(8);
  }
}
