package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.DirectionalCuts.Way;
import gladeknot.standin.FeatureSettings;
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
 * Drawn schedules of cuts by direction against the simulated cluster and its checker of rules. A
 * failure shrinks to a short schedule, which belongs into {@link PartialCutsTest} then.
 */
class PartialCutsPropertiesTest {
  private static final int NODES = 3;
  private static final int MAX_STEPS = 8;
  private static final int MAX_STEP_TENTHS = 120;

  /** What happens to the cluster in one step. */
  enum Action {
    CUT_WAY,
    JOIN_WAY,
    CUT_PEER,
    JOIN_PEER,
    REFUSE_STATE,
    SERVE_STATE,
    RESTART,
    LOSE_ANSWER,
    LATE_WRITES,
    PUNCTUAL_WRITES,
    SLOW_PEERS,
    FAST_PEERS,
    JOIN_ALL,
    CANCEL
  }

  /** One step, and how many tenths of a second pass after it. */
  record Step(Action action, int node, int other, Way way, int tenths) {
    void play(SimulatedCluster w) {
      switch (action) {
        case CUT_WAY -> w.faults().cuts().set(node, way, true);
        case JOIN_WAY -> w.faults().cuts().set(node, way, false);
        case CUT_PEER -> w.faults().cuts().setPeer(node, other, true);
        case JOIN_PEER -> w.faults().cuts().setPeer(node, other, false);
        case REFUSE_STATE -> w.faults().rejectStateCalls(node, true);
        case SERVE_STATE -> w.faults().rejectStateCalls(node, false);
        case LOSE_ANSWER -> w.faults().loseOneMoreCommitResponse();
        case LATE_WRITES -> w.faults().lateCommitShare(0.3);
        case PUNCTUAL_WRITES -> w.faults().lateCommitShare(0);
        case SLOW_PEERS -> w.faults().delayPeerMessages(tenths * SECOND / 2);
        case FAST_PEERS -> w.faults().delayPeerMessages(0);
        case JOIN_ALL -> w.faults().cuts().clear();
        case CANCEL -> w.cancel(node, "req-cut");
        case RESTART -> {
          w.kill(node);
          w.run(SECOND * 3 / 10);
          w.start(node);
        }
      }
      w.run(tenths * SECOND / 10);
    }
  }

  @Provide
  Arbitrary<List<Step>> schedules() {
    return drawn();
  }

  /** Schedules of a few steps. */
  static Arbitrary<List<Step>> drawn() {
    return Combinators.combine(
            Arbitraries.of(Action.class),
            Arbitraries.integers().between(0, NODES - 1),
            Arbitraries.integers().between(0, NODES - 1),
            Arbitraries.of(Way.class),
            Arbitraries.integers().between(1, MAX_STEP_TENTHS))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_STEPS);
  }

  @Property(tries = 12, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
  void noScheduleBreaksARule(@ForAll("schedules") List<Step> schedule) {
    play(schedule, schedule.size());
  }

  /** Plays a schedule, then lets all be well, and checks what came of it. */
  static void play(List<Step> schedule, long seed) {
    SimulatedCluster w =
        new SimulatedCluster(
            NODES, schedule.size(), ClusterScale.SMALL, FeatureSettings.partialCuts());
    w.startPolling();
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-array", "array", 24));
    w.submit(1, TestJobs.job("req-web", "service", 4));
    w.submit(2, TestJobs.job("req-cut", "service", 4));
    w.run(12 * SECOND);
    schedule.forEach(step -> step.play(w));
    w.faults().cuts().clear();
    w.faults().lateCommitShare(0);
    w.faults().delayPeerMessages(0);
    for (int i = 0; i < NODES; i++) {
      w.faults().rejectStateCalls(i, false);
    }
    w.expectRecovery();
    w.run(150 * SECOND);
    assertEquals(List.of(), w.violations());
    assertEquals("done", w.phase("req-array"));
    assertEquals("running", w.phase("req-web"));
  }
}
