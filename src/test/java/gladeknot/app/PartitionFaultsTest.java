package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;

import gladeknot.app.FaultScenarios.Case;
import gladeknot.standin.ClusterSettings;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Controllers and zones that are cut off while jobs are cancelled elsewhere. */
class PartitionFaultsTest {
  private static final List<Case> CASES =
      List.of(
          new Case(
              "an owner loses state service and peers while jobs are cancelled elsewhere",
              5,
              cluster -> {
                cluster.faults().disconnectFromState(0, true);
                cluster.faults().disconnectFromPeers(0, true);
                cluster.run(SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(30 * SECOND);
                cluster.faults().disconnectFromState(0, false);
                cluster.faults().disconnectFromPeers(0, false);
              }),
          new Case(
              "a zone with workers and a controller is cut off for longer than a lease",
              9,
              cluster -> {
                cluster.faults().isolateZone("b", 1);
                cluster.run(SECOND);
                cluster.cancel(0, "req-cut");
                cluster.run(ClusterSettings.LEASE + 20 * SECOND);
                cluster.faults().rejoinZone();
              }),
          new Case(
              "an owner is cut from its workers alone, and jobs are cancelled",
              5,
              20,
              cluster -> {
                cluster.faults().disconnectFromWorkers(0, true);
                cluster.run(2 * SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(40 * SECOND);
                cluster.faults().disconnectFromWorkers(0, false);
              }),
          new Case(
              "two zones apart: delegates in turn renew leases while jobs are cancelled",
              5,
              22,
              cluster -> {
                // Every owner still reaches its own zone, so that none relinquishes its shard.
                // Without kills by delegates a cancelled task ran while they alternated.
                cluster.faults().partitionZone("a", Set.of(0, 1));
                cluster.faults().partitionZone("b", Set.of(2, 3, 4));
                cluster.run(4 * SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(60 * SECOND);
                cluster.faults().healPartitions();
              }));

  @TestFactory
  Stream<DynamicTest> noRuleBreaksAndNothingIsForgotten() {
    return FaultScenarios.tests(CASES);
  }
}
