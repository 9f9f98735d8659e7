package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Services are taken in by the shard whose machines have their image, other jobs where they come.
 */
class HomeSelectorTest {
  private static final String HOME = "h";

  @ParameterizedTest
  @CsvSource({
    "service, img-there, 0",
    "service, img-nowhere, 1",
    "array, img-there, 1",
  })
  void newJobsGoHome(String shape, String image, int shard) {
    SimulatedCluster cluster = new SimulatedCluster(3, 41);
    cluster.run(3 * SECOND);
    cluster.submit(0, job("req-web-first", "service", "img-there"));
    cluster.run(12 * SECOND);
    assertEquals("0", home(cluster, "req-web-first"));
    cluster.submit(1, job("req-web-second", shape, image));
    cluster.run(SECOND);
    assertEquals(String.valueOf(shard), home(cluster, "req-web-second"));
    cluster.run(12 * SECOND);
    assertEquals(List.of(), cluster.broken());
  }

  private static Map<String, Object> job(String id, String shape, String image) {
    Map<String, Object> job = SimulatedCluster.job(id, shape, 2);
    job.put("bundle", image);
    job.put("scatter", false);
    return job;
  }

  private static String home(SimulatedCluster cluster, String id) {
    return String.valueOf(cluster.state.get("g/job/" + id).get(HOME));
  }
}
