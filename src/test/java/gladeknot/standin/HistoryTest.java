package gladeknot.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Histories that the checker must reject, each for its own reason, and one that it must not. */
class HistoryTest {
  private static final long CANCEL = 20;
  private static final String KEY = "g/sl/0/a0";

  private record Case(String reason, Consumer<History> history) {}

  private static void commit(History h, String attempts) {
    h.changed(KEY, Map.of("req-a", "dev|1000|0|1000|3|0-1||" + attempts));
  }

  private static void ordinary(History h) {
    h.submitted("req-a", 2);
    commit(h, "0:1:vm-1,1:2:vm-2");
    h.told("req-a", "queued", 1);
    h.started("vm-1", "req-a/0", 1, 2);
    h.started("vm-2", "req-a/1", 2, 2);
    h.told("req-a", "running", 3);
    h.ended("vm-1", "req-a/0", 1, true, 5);
    h.ended("vm-2", "req-a/1", 2, true, 6);
    h.told("req-a", "done", 7);
    h.told("req-a", "done", 8);
  }

  private static final List<Case> REJECTED =
      List.of(
          new Case(
              "order without its commit",
              h -> {
                commit(h, "0:1:vm-1");
                h.started("vm-2", "req-a/0", 1, 2);
              }),
          new Case(
              "order without its commit",
              h -> {
                h.started("vm-1", "req-a/0", 1, 2);
                commit(h, "0:1:vm-1");
              }),
          new Case(
              "runs twice",
              h -> {
                commit(h, "0:1:vm-1");
                h.started("vm-1", "req-a/0", 1, 2);
                commit(h, "0:2:vm-2");
                h.started("vm-2", "req-a/0", 2, 3);
              }),
          new Case(
              "two answers",
              h -> {
                ordinary(h);
                h.told("req-a", "running", 9);
              }),
          new Case(
              "two answers",
              h -> {
                ordinary(h);
                h.told("req-a", "withdrawn", 9);
              }),
          new Case(
              "called done",
              h -> {
                h.submitted("req-a", 2);
                commit(h, "0:1:vm-1");
                h.started("vm-1", "req-a/0", 1, 2);
                h.ended("vm-1", "req-a/0", 1, true, 3);
                h.told("req-a", "done", 4);
              }),
          new Case(
              "called done",
              h -> {
                h.submitted("req-a", 1);
                commit(h, "0:1:vm-1");
                h.started("vm-1", "req-a/0", 1, 2);
                h.ended("vm-1", "req-a/0", 1, false, 3);
                h.told("req-a", "done", 4);
              }),
          new Case(
              "of a cancelled job",
              h -> {
                commit(h, "0:1:vm-1");
                h.told("req-a", "withdrawn", 2);
                h.started("vm-1", "req-a/0", 1, 3 + CANCEL);
              }),
          new Case(
              "of a cancelled job",
              h -> {
                commit(h, "0:1:vm-1");
                h.started("vm-1", "req-a/0", 1, 1);
                h.told("req-a", "withdrawn", 2);
              }));

  @Test
  void anOrdinaryHistoryIsAccepted() {
    History h = new History(CANCEL);
    ordinary(h);
    assertEquals(List.of(), h.violations(100));
    assertTrue(h.open().isEmpty());
    assertEquals(2, h.starts());
  }

  @Test
  void eachViolationIsFound() {
    for (Case c : REJECTED) {
      History h = new History(CANCEL);
      c.history().accept(h);
      List<String> found = h.violations(100);
      assertEquals(1, found.size(), c.reason() + ": " + found);
      assertTrue(found.get(0).startsWith(c.reason()), found.get(0));
    }
  }

  @Test
  void aJobWithoutAFinalAnswerIsOpen() {
    History h = new History(CANCEL);
    h.submitted("req-b", 1);
    h.told("req-b", "running", 1);
    assertEquals(java.util.Set.of("req-b"), h.open());
  }
}
