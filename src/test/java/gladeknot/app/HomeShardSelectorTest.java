package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a service gets the shard whose machines have its image as its home shard if a fetch of
 * the image takes too long. All other jobs get the home shard of the controller that accepts them.
 */
class HomeShardSelectorTest {
  private static final String HOME_FIELD = "h";

  @ParameterizedTest
  @CsvSource({
    "service, scan, img-there, 8.0, 0",
    "service, scan, img-there, 2.0, 1",
    "service, scan, img-nowhere, 8.0, 1",
    "service, batch, img-there, 8.0, 1",
    "array, scan, img-there, 8.0, 1",
  })
  void homeShardDependsOnShapeClassAndImage(
      String shape, String jobClass, String image, double sizeGb, int shard) {
    SimulatedCluster cluster = new SimulatedCluster(3, 41);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, job("req-web-first", "service", jobClass, "img-there", sizeGb));
    cluster.run(12 * MICROS_PER_SECOND);
    assertEquals("0", home(cluster, "req-web-first"));
    cluster.submit(1, job("req-web-second", shape, jobClass, image, sizeGb));
    cluster.run(MICROS_PER_SECOND);
    assertEquals(String.valueOf(shard), home(cluster, "req-web-second"));
    cluster.run(12 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
  }

  private static Map<String, Object> job(
      String id, String shape, String jobClass, String image, double sizeGb) {
    Map<String, Object> job = TestJobs.job(id, shape, 2);
    job.put("jobclass", jobClass);
    job.put("sizeGb", sizeGb);
    job.put("bundle", image);
    job.put("scatter", false);
    return job;
  }

  private static String home(SimulatedCluster cluster, String id) {
    return String.valueOf(cluster.state().get("g/job/" + id).get(HOME_FIELD));
  }
}
