package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Submissions that no controller accepts. */
class RejectedSubmissionsTest {
  @Test
  void infeasibleOrIncompleteJobsAreRejected() {
    // given
    SimulatedCluster cluster = new SimulatedCluster(3, 60);
    cluster.run(4 * MICROS_PER_SECOND);
    // when
    for (String field : TestJobs.job("req-lack", "array", 1).keySet()) {
      if (!List.of("hosttypes", "glade", "dueS").contains(field)) {
        Map<String, Object> incomplete = TestJobs.job("req-lack", "array", 1);
        incomplete.remove(field);
        cluster.submitInvalid(0, incomplete, 400);
      }
    }
    Map<String, Object> tooLarge = TestJobs.job("req-large", "array", 1);
    tooLarge.put("memoryGb", 17.0);
    cluster.submitInvalid(1, tooLarge, 422);
    Map<String, Object> unknownZone = TestJobs.job("req-nowhere", "service", 1);
    unknownZone.put("glade", "c");
    cluster.submitInvalid(1, unknownZone, 422);
    Map<String, Object> unknownType = TestJobs.job("req-type", "ensemble", 1);
    unknownType.put("hosttypes", List.of("huge"));
    cluster.submitInvalid(2, unknownType, 422);
    Map<String, Object> unknownTeam = TestJobs.job("req-nobody", "array", 1);
    unknownTeam.put("owner", "nobody");
    cluster.submitInvalid(2, unknownTeam, 422);
    cluster.submitInvalid(0, TestJobs.job("req-limit", "ensemble", 25), 422);
    cluster.run(2 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
  }
}
