package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.FeatureSettings;
import gladeknot.standin.LinkFaults.Direction;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Runs random schedules of link faults in single directions against the simulated cluster and its
 * invariant checkers. Add a failing schedule, once shrunk, as a case to {@link PartialCutsTest}.
 */
class PartialCutsPropertiesTest {
  private static final int NODES = 3;
  private static final int MAX_STEPS = 8;
  private static final int MAX_STEP_TENTHS = 120;

  /** The fault that one step injects or removes. */
  enum Action {
    DROP_DIRECTION,
    DELIVER_DIRECTION,
    DROP_PEER,
    DELIVER_PEER,
    REFUSE_STATE,
    ACCEPT_STATE,
    RESTART,
    LOSE_COMMIT_RESPONSE,
    LATE_WRITES,
    TIMELY_WRITES,
    SLOW_PEERS,
    FAST_PEERS,
    HEAL_ALL,
    CANCEL
  }

  /** A step, with the time that passes after it in tenths of a second. */
  record Step(Action action, int node, int other, Direction direction, int tenths) {
    void apply(SimulatedCluster cluster) {
      switch (action) {
        case DROP_DIRECTION -> cluster.faults().links().setDropped(node, direction, true);
        case DELIVER_DIRECTION -> cluster.faults().links().setDropped(node, direction, false);
        case DROP_PEER -> cluster.faults().links().setPeerDropped(node, other, true);
        case DELIVER_PEER -> cluster.faults().links().setPeerDropped(node, other, false);
        case REFUSE_STATE -> cluster.faults().rejectStateCalls(node, true);
        case ACCEPT_STATE -> cluster.faults().rejectStateCalls(node, false);
        case LOSE_COMMIT_RESPONSE -> cluster.faults().loseOneMoreCommitAnswer();
        case LATE_WRITES -> cluster.faults().lateCommitShare(0.3);
        case TIMELY_WRITES -> cluster.faults().lateCommitShare(0);
        case SLOW_PEERS -> cluster.faults().delayPeerMessages(tenths * MICROS_PER_SECOND / 2);
        case FAST_PEERS -> cluster.faults().delayPeerMessages(0);
        case HEAL_ALL -> cluster.faults().links().heal();
        case CANCEL -> cluster.cancel(node, "req-cut");
        case RESTART -> {
          cluster.kill(node);
          cluster.run(MICROS_PER_SECOND * 3 / 10);
          cluster.start(node);
        }
      }
      cluster.run(tenths * MICROS_PER_SECOND / 10);
    }
  }

  @Provide
  Arbitrary<List<Step>> schedules() {
    return scheduleArbitrary();
  }

  /** Generates schedules of 1 to {@link #MAX_STEPS} steps. */
  static Arbitrary<List<Step>> scheduleArbitrary() {
    return Combinators.combine(
            Arbitraries.of(Action.class),
            Arbitraries.integers().between(0, NODES - 1),
            Arbitraries.integers().between(0, NODES - 1),
            Arbitraries.of(Direction.class),
            Arbitraries.integers().between(1, MAX_STEP_TENTHS))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_STEPS);
  }

  @Property(tries = 12, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
  void noScheduleViolatesInvariants(@ForAll("schedules") List<Step> schedule) {
    runSchedule(schedule, schedule.size());
  }

  /** Runs a schedule, removes all faults, and checks the invariants and the phases of jobs. */
  static void runSchedule(List<Step> schedule, long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            NODES, schedule.size(), ClusterScale.SMALL, FeatureSettings.partialCuts());
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 24));
    cluster.submit(1, TestJobs.job("req-web", "service", 4));
    cluster.submit(2, TestJobs.job("req-cut", "service", 4));
    cluster.run(12 * MICROS_PER_SECOND);
    schedule.forEach(step -> step.apply(cluster));
    cluster.faults().links().heal();
    cluster.faults().lateCommitShare(0);
    cluster.faults().delayPeerMessages(0);
    for (int i = 0; i < NODES; i++) {
      cluster.faults().rejectStateCalls(i, false);
    }
    cluster.expectRecovery();
    cluster.run(150 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    assertEquals("done", cluster.phase("req-array"));
    assertEquals("running", cluster.phase("req-web"));
  }
}
