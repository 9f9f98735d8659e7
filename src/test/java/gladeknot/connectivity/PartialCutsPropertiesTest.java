package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.DirectionalCuts.Way;
import gladeknot.standin.FeatureSettings;
import gladeknot.standin.SimulatedCluster;
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
        case CUT_WAY -> w.cuts.set(node, way, true);
        case JOIN_WAY -> w.cuts.set(node, way, false);
        case CUT_PEER -> w.cuts.setPeer(node, other, true);
        case JOIN_PEER -> w.cuts.setPeer(node, other, false);
        case REFUSE_STATE -> w.refuse(node, true);
        case SERVE_STATE -> w.refuse(node, false);
        case LOSE_ANSWER -> w.loseAnswers++;
        case LATE_WRITES -> w.lateWrites = 0.3;
        case PUNCTUAL_WRITES -> w.lateWrites = 0;
        case SLOW_PEERS -> w.peerDelay = tenths * SECOND / 2;
        case FAST_PEERS -> w.peerDelay = 0;
        case JOIN_ALL -> w.cuts.clear();
        case CANCEL -> w.abort(node, "req-cut");
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
            NODES, schedule.size(), SimulatedCluster.SMALL, FeatureSettings.partialCuts());
    w.watch();
    w.run(3 * SECOND);
    w.submit(0, SimulatedCluster.job("req-array", "array", 24));
    w.submit(1, SimulatedCluster.job("req-web", "service", 4));
    w.submit(2, SimulatedCluster.job("req-cut", "service", 4));
    w.run(12 * SECOND);
    schedule.forEach(step -> step.play(w));
    w.cuts.clear();
    w.lateWrites = 0;
    w.peerDelay = 0;
    for (int i = 0; i < NODES; i++) {
      w.refuse(i, false);
    }
    w.calm();
    w.run(150 * SECOND);
    assertEquals(List.of(), w.broken());
    assertEquals("done", w.phase("req-array"));
    assertEquals("running", w.phase("req-web"));
  }
}
