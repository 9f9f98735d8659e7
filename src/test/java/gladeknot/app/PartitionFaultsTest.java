package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;

import gladeknot.app.FaultScenarios.Case;
import gladeknot.standin.ClusterSettings;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Partitioned controllers and zones while jobs are cancelled through other controllers. */
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
              "a zone with workers and a controller is partitioned for longer than a lease",
              9,
              cluster -> {
                cluster.faults().isolateZone("b", 1);
                cluster.run(SECOND);
                cluster.cancel(0, "req-cut");
                cluster.run(ClusterSettings.LEASE + 20 * SECOND);
                cluster.faults().rejoinZone();
              }),
          new Case(
              "an owner loses only its workers, and jobs are cancelled",
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
              "two zones partitioned: delegates renew leases in turn while jobs are cancelled",
              5,
              22,
              cluster -> {
                // Every owner still reaches its own zone, so no owner relinquishes its shard. When
                // delegates sent no kills, a cancelled task kept running while they alternated.
                cluster.faults().partitionZone("a", Set.of(0, 1));
                cluster.faults().partitionZone("b", Set.of(2, 3, 4));
                cluster.run(4 * SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(60 * SECOND);
                cluster.faults().healPartitions();
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsSettle() {
    return FaultScenarios.tests(CASES);
  }
}
