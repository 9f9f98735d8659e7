package gladeknot.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Checks that {@link History} rejects histories with a violation, each for its own reason, and
 * accepts a valid one.
 */
class HistoryTest {
  private static final ResourceUse ONE_CPU_ONE_AND_A_HALF_GPUS =
      ResourceUse.of(BigDecimal.ONE, new BigDecimal("1.5"), BigDecimal.ZERO);

  private static final long CANCEL_MICROS = 20;
  private static final String KEY = "g/sl/0/a0";

  private record Case(String reason, Consumer<History> history) {}

  private static History newHistory() {
    return new History(CANCEL_MICROS, List.of(TestTeams.team("dev", 0, 4_000, 0, 2_000)), 1);
  }

  private static void commit(History history, String attempts) {
    history.changed(KEY, Map.of("req-a", "dev|1000|0|1000|3|0-1||" + attempts));
  }

  private static void addValidRun(History history) {
    history.submitted("req-a", 2);
    commit(history, "0:1:vm-1,1:2:vm-2");
    history.phaseObserved("req-a", "queued", 1);
    history.started("vm-1", "req-a/0", 1, 2);
    history.started("vm-2", "req-a/1", 2, 2);
    history.phaseObserved("req-a", "running", 3);
    history.ended("vm-1", "req-a/0", 1, true, 5);
    history.ended("vm-2", "req-a/1", 2, true, 6);
    history.phaseObserved("req-a", "done", 7);
    history.phaseObserved("req-a", "done", 8);
  }

  private static final List<Case> REJECTED =
      List.of(
          new Case(
              "order without its commit",
              history -> {
                commit(history, "0:1:vm-1");
                history.started("vm-2", "req-a/0", 1, 2);
              }),
          new Case(
              "order without its commit",
              history -> {
                history.started("vm-1", "req-a/0", 1, 2);
                commit(history, "0:1:vm-1");
              }),
          new Case(
              "runs twice",
              history -> {
                commit(history, "0:1:vm-1");
                history.started("vm-1", "req-a/0", 1, 2);
                commit(history, "0:2:vm-2");
                history.started("vm-2", "req-a/0", 2, 3);
              }),
          new Case(
              "quota",
              history -> {
                commit(history, "0:1:vm-1,1:2:vm-2");
                history.submitted("req-a", 2, "dev", ResourceUse.of(3, 0));
                history.started("vm-1", "req-a/0", 1, 2);
                history.started("vm-2", "req-a/1", 2, 3);
              }),
          new Case(
              "quota",
              history -> {
                commit(history, "0:1:vm-1,1:2:vm-2");
                history.submitted("req-a", 2, "dev", ONE_CPU_ONE_AND_A_HALF_GPUS);
                history.started("vm-1", "req-a/0", 1, 2);
                history.started("vm-2", "req-a/1", 2, 3);
              }),
          new Case(
              "quota",
              history -> {
                history.changed("g/team/dev", Map.of("c", List.of(1_000), "g", List.of(0)));
                commit(history, "0:1:vm-1,1:2:vm-2");
                history.transactionCommitted();
              }),
          new Case(
              "called done",
              history -> {
                history.submitted("req-a", 2);
                history.submittedAsGang("req-a");
                commit(history, "0:1:vm-1,1:1:vm-2");
                history.started("vm-1", "req-a/0", 1, 2);
                history.started("vm-2", "req-a/1", 1, 2);
                history.ended("vm-1", "req-a/0", 1, false, 3);
                history.phaseObserved("req-a", "done", 4);
              }),
          new Case(
              "forgotten",
              history -> {
                addValidRun(history);
                history.denied("req-a", 404);
              }),
          new Case(
              "two answers",
              history -> {
                addValidRun(history);
                history.phaseObserved("req-a", "running", 9);
              }),
          new Case(
              "two answers",
              history -> {
                addValidRun(history);
                history.phaseObserved("req-a", "withdrawn", 9);
              }),
          new Case(
              "called done",
              history -> {
                history.submitted("req-a", 2);
                commit(history, "0:1:vm-1");
                history.started("vm-1", "req-a/0", 1, 2);
                history.ended("vm-1", "req-a/0", 1, true, 3);
                history.phaseObserved("req-a", "done", 4);
              }),
          new Case(
              "called done",
              history -> {
                history.submitted("req-a", 1);
                commit(history, "0:1:vm-1");
                history.started("vm-1", "req-a/0", 1, 2);
                history.ended("vm-1", "req-a/0", 1, false, 3);
                history.phaseObserved("req-a", "done", 4);
              }),
          new Case(
              "of a cancelled job",
              history -> {
                commit(history, "0:1:vm-1");
                history.phaseObserved("req-a", "withdrawn", 2);
                history.started("vm-1", "req-a/0", 1, 3 + CANCEL_MICROS);
              }),
          new Case(
              "of a cancelled job",
              history -> {
                commit(history, "0:1:vm-1");
                history.started("vm-1", "req-a/0", 1, 1);
                history.phaseObserved("req-a", "withdrawn", 2);
              }));

  @Test
  void acceptsValidHistory() {
    History history = newHistory();
    addValidRun(history);
    assertEquals(List.of(), history.violations(100));
    assertTrue(history.unfinishedJobs().isEmpty());
    assertEquals(2, history.starts());
  }

  @Test
  void acceptsDoneGangWithOneCompletedTask() {
    History history = newHistory();
    history.submitted("req-a", 2);
    history.submittedAsGang("req-a");
    commit(history, "0:1:vm-1,1:1:vm-2");
    history.started("vm-1", "req-a/0", 1, 2);
    history.started("vm-2", "req-a/1", 1, 2);
    history.ended("vm-1", "req-a/0", 1, false, 3);
    history.ended("vm-2", "req-a/1", 1, true, 3);
    history.phaseObserved("req-a", "done", 4);
    assertEquals(List.of(), history.violations(100));
  }

  @Test
  void reportsEachViolation() {
    for (Case testCase : REJECTED) {
      History history = newHistory();
      testCase.history().accept(history);
      List<String> found = history.violations(100);
      assertEquals(1, found.size(), testCase.reason() + ": " + found);
      assertTrue(found.get(0).startsWith(testCase.reason()), found.get(0));
    }
  }

  @Test
  void jobWithoutFinalPhaseIsUnfinished() {
    History history = newHistory();
    history.submitted("req-b", 1);
    history.phaseObserved("req-b", "running", 1);
    assertEquals(java.util.Set.of("req-b"), history.unfinishedJobs());
  }
}
