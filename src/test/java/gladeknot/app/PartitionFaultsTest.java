package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;

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
                cluster.run(MICROS_PER_SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(0, false);
                cluster.faults().disconnectFromPeers(0, false);
              }),
          new Case(
              "a zone with workers and a controller is partitioned for longer than a lease",
              9,
              cluster -> {
                cluster.faults().isolateZone("b", 1);
                cluster.run(MICROS_PER_SECOND);
                cluster.cancel(0, "req-cut");
                cluster.run(ClusterSettings.LEASE_MICROS + 20 * MICROS_PER_SECOND);
                cluster.faults().rejoinZone();
              }),
          new Case(
              "an owner loses only its workers, and jobs are cancelled",
              5,
              20,
              cluster -> {
                cluster.faults().disconnectFromWorkers(0, true);
                cluster.run(2 * MICROS_PER_SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(40 * MICROS_PER_SECOND);
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
                cluster.run(4 * MICROS_PER_SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(60 * MICROS_PER_SECOND);
                cluster.faults().healPartitions();
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsSettle() {
    return FaultScenarios.tests(CASES);
  }
}
