package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Submissions that no controller accepts. */
class RejectedSubmissionsTest {
  @Test
  void whatCanNeverRunOrLacksAFieldIsNotAccepted() {
    // given
    SimulatedCluster cluster = new SimulatedCluster(3, 60);
    cluster.run(4 * SECOND);
    // when
    for (String field : TestJobs.job("req-lack", "array", 1).keySet()) {
      if (!List.of("hosttypes", "glade", "dueS").contains(field)) {
        Map<String, Object> lacking = TestJobs.job("req-lack", "array", 1);
        lacking.remove(field);
        cluster.submitInvalid(0, lacking, 400);
      }
    }
    Map<String, Object> large = TestJobs.job("req-large", "array", 1);
    large.put("memoryGb", 17.0);
    cluster.submitInvalid(1, large, 422);
    Map<String, Object> nowhere = TestJobs.job("req-nowhere", "service", 1);
    nowhere.put("glade", "c");
    cluster.submitInvalid(1, nowhere, 422);
    Map<String, Object> unknown = TestJobs.job("req-type", "ensemble", 1);
    unknown.put("hosttypes", List.of("huge"));
    cluster.submitInvalid(2, unknown, 422);
    Map<String, Object> nobody = TestJobs.job("req-nobody", "array", 1);
    nobody.put("owner", "nobody");
    cluster.submitInvalid(2, nobody, 422);
    cluster.submitInvalid(0, TestJobs.job("req-limit", "ensemble", 25), 422);
    cluster.run(2 * SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
  }
}
