package gladeknot.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.connectivity.OwnerSelector.Candidate;
import gladeknot.peer.PeerReachability.ShardContact;
import gladeknot.peer.PeerReachability.ZoneReachability;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Direction verdicts, flap damping and owner selection, each with explicit times. */
class LinkVerdictTest {
  private static final long SECOND = 1_000_000;
  private static final DirectionHealth.Limits LIMITS =
      new DirectionHealth.Limits(SECOND, 4 * SECOND, 5 * SECOND);
  private static final FlapDamping.Limits DAMPING =
      new FlapDamping.Limits(1000, 2000, 800, 30 * SECOND, 60 * SECOND);

  private static Verdict after(DirectionHealth health, double seconds) {
    health.update((long) (seconds * SECOND));
    return health.verdict();
  }

  private static long at(double seconds) {
    return (long) (seconds * SECOND);
  }

  @Test
  void aDirectionGoesThroughItsVerdictsInOrder() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    assertEquals(Verdict.UNKNOWN, after(health, 1));
    health.recordProven(at(1));
    assertEquals(Verdict.REACHABLE, after(health, 1));
    health.recordOverdue(at(2));
    assertEquals(Verdict.REACHABLE, after(health, 2.9));
    assertEquals(Verdict.SUSPECT, after(health, 3.1));
    assertEquals(Verdict.UNREACHABLE, after(health, 6.1));
    health.recordProven(at(7));
    assertEquals(Verdict.PROBATION, after(health, 7.1));
    assertEquals(Verdict.PROBATION, after(health, 12));
    assertEquals(Verdict.REACHABLE, after(health, 12.2));
  }

  @Test
  void evidenceCountsByWhenItWasSent() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    health.recordProven(at(5));
    health.recordOverdue(at(4));
    assertEquals(Verdict.REACHABLE, after(health, 30));
    health.recordOverdue(at(31));
    health.recordProven(at(30.5));
    assertEquals(Verdict.UNREACHABLE, after(health, 36));
  }

  @Test
  void aDirectionThatFlapsStaysOnProbationAndComesBackInTime() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    double start = 0;
    for (int i = 0; i < 20; i++) {
      health.recordOverdue(at(start + 0.1));
      after(health, start + 4.5);
      health.recordProven(at(start + 5));
      after(health, start + 5);
      after(health, start + 9.9);
      start += 10;
      assertTrue(i < 3 || health.verdict() == Verdict.PROBATION);
    }
    health.recordProven(at(start));
    assertEquals(Verdict.PROBATION, after(health, start + 30));
    // Longest suppression, and the probation.
    assertEquals(Verdict.REACHABLE, after(health, start + 66));
  }

  @Test
  void aPenaltyIsBoundedAndDecays() {
    FlapDamping damping = new FlapDamping(DAMPING);
    damping.recordChange(0);
    assertFalse(damping.suppressed(0));
    for (int i = 0; i < 100; i++) {
      damping.recordChange(at(i * 0.1));
    }
    assertTrue(damping.suppressed(at(10)));
    assertEquals(3200, damping.penalty(at(9.9)), 1);
    assertTrue(damping.suppressed(at(69)));
    assertFalse(damping.suppressed(at(71)));
  }

  @Test
  void theOwnerIsChosenByReachThenHomeThenRing() {
    record Case(String chosen, int least, List<Candidate> candidates) {}

    List<Case> cases =
        List.of(
            new Case("b", 0, List.of(new Candidate("a", false, 100, 0), steady("b", 50, 1))),
            new Case("a", 0, List.of(steady("a", 100, 0), steady("b", 100, 1))),
            new Case("b", 0, List.of(steady("a", 60, 0), steady("b", 80, 1))),
            new Case("a", 0, List.of(steady("a", 76, 0), steady("b", 99, 1))),
            new Case("c", 0, List.of(steady("c", 90, 2), steady("d", 90, 3))),
            new Case("", 0, List.of(steady("a", 10, 0))),
            new Case("", 60, List.of(steady("a", 50, 0))),
            new Case("", 0, List.of()));
    for (Case testCase : cases) {
      Optional<String> best =
          OwnerSelector.best(testCase.candidates(), testCase.least()).map(Candidate::node);
      assertEquals(testCase.chosen(), best.orElse(""), testCase.toString());
    }
    assertEquals(Optional.empty(), OwnerSelector.betterThan(List.of(steady("a", 60, 0)), 50));
  }

  private static Candidate steady(String node, int percent, int distance) {
    return new Candidate(node, true, percent, distance);
  }

  @Test
  void reachIsTheMeanOverWorkersOrTheShareThatReported() {
    List<ZoneReachability> zones =
        List.of(new ZoneReachability("a", 100), new ZoneReachability("b", 0));
    Map<String, Integer> workers = Map.of("a", 1, "b", 3);
    assertEquals(25, ReachabilityScore.of(workers, zones, List.of(), 0));
    assertEquals(50, ReachabilityScore.of(Map.of("c", 7), zones, List.of(), 0));
    assertEquals(100, ReachabilityScore.of(Map.of(), zones, List.of(), 0));
    List<ShardContact> contacts = List.of(new ShardContact(0, 3));
    assertEquals(75, ReachabilityScore.of(workers, zones, contacts, 0));
    assertEquals(25, ReachabilityScore.of(workers, zones, contacts, 1));
  }
}
