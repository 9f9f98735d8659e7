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
  private static final long SECOND_MICROS = 1_000_000;
  private static final DirectionHealth.Limits LIMITS =
      new DirectionHealth.Limits(SECOND_MICROS, 4 * SECOND_MICROS, 5 * SECOND_MICROS);
  private static final FlapDamping.Limits DAMPING =
      new FlapDamping.Limits(1000, 2000, 800, 30 * SECOND_MICROS, 60 * SECOND_MICROS);

  private static Verdict verdictAt(DirectionHealth health, double seconds) {
    health.update((long) (seconds * SECOND_MICROS));
    return health.verdict();
  }

  private static long micros(double seconds) {
    return (long) (seconds * SECOND_MICROS);
  }

  @Test
  void verdictFollowsProvenAndOverdueMessages() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    assertEquals(Verdict.UNKNOWN, verdictAt(health, 1));
    health.recordProven(micros(1));
    assertEquals(Verdict.REACHABLE, verdictAt(health, 1));
    health.recordOverdue(micros(2));
    assertEquals(Verdict.REACHABLE, verdictAt(health, 2.9));
    assertEquals(Verdict.SUSPECT, verdictAt(health, 3.1));
    assertEquals(Verdict.UNREACHABLE, verdictAt(health, 6.1));
    health.recordProven(micros(7));
    assertEquals(Verdict.PROBATION, verdictAt(health, 7.1));
    assertEquals(Verdict.PROBATION, verdictAt(health, 12));
    assertEquals(Verdict.REACHABLE, verdictAt(health, 12.2));
  }

  @Test
  void evidenceIsOrderedBySendTime() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    health.recordProven(micros(5));
    health.recordOverdue(micros(4));
    assertEquals(Verdict.REACHABLE, verdictAt(health, 30));
    health.recordOverdue(micros(31));
    health.recordProven(micros(30.5));
    assertEquals(Verdict.UNREACHABLE, verdictAt(health, 36));
  }

  @Test
  void flappingDirectionStaysOnProbationUntilSuppressionEnds() {
    DirectionHealth health = new DirectionHealth(LIMITS, DAMPING);
    double startSeconds = 0;
    for (int i = 0; i < 20; i++) {
      health.recordOverdue(micros(startSeconds + 0.1));
      verdictAt(health, startSeconds + 4.5);
      health.recordProven(micros(startSeconds + 5));
      verdictAt(health, startSeconds + 5);
      verdictAt(health, startSeconds + 9.9);
      startSeconds += 10;
      assertTrue(i < 3 || health.verdict() == Verdict.PROBATION);
    }
    health.recordProven(micros(startSeconds));
    assertEquals(Verdict.PROBATION, verdictAt(health, startSeconds + 30));
    // The longest suppression is 60 s and the probation 5 s.
    assertEquals(Verdict.REACHABLE, verdictAt(health, startSeconds + 66));
  }

  @Test
  void penaltyIsBoundedAndDecays() {
    FlapDamping damping = new FlapDamping(DAMPING);
    damping.recordChange(0);
    assertFalse(damping.suppressed(0));
    for (int i = 0; i < 100; i++) {
      damping.recordChange(micros(i * 0.1));
    }
    assertTrue(damping.suppressed(micros(10)));
    assertEquals(3200, damping.penalty(micros(9.9)), 1);
    assertTrue(damping.suppressed(micros(69)));
    assertFalse(damping.suppressed(micros(71)));
  }

  @Test
  void ownerIsSelectedByReachabilityThenHomeThenRing() {
    record Case(String expected, int minPercent, List<Candidate> candidates) {}

    List<Case> cases =
        List.of(
            new Case(
                "b", 0, List.of(new Candidate("a", false, 100, 0), steadyCandidate("b", 50, 1))),
            new Case("a", 0, List.of(steadyCandidate("a", 100, 0), steadyCandidate("b", 100, 1))),
            new Case("b", 0, List.of(steadyCandidate("a", 60, 0), steadyCandidate("b", 80, 1))),
            new Case("a", 0, List.of(steadyCandidate("a", 76, 0), steadyCandidate("b", 99, 1))),
            new Case("c", 0, List.of(steadyCandidate("c", 90, 2), steadyCandidate("d", 90, 3))),
            new Case("", 0, List.of(steadyCandidate("a", 10, 0))),
            new Case("", 60, List.of(steadyCandidate("a", 50, 0))),
            new Case("", 0, List.of()));
    for (Case testCase : cases) {
      Optional<String> best =
          OwnerSelector.best(testCase.candidates(), testCase.minPercent()).map(Candidate::node);
      assertEquals(testCase.expected(), best.orElse(""), testCase.toString());
    }
    assertEquals(
        Optional.empty(), OwnerSelector.betterThan(List.of(steadyCandidate("a", 60, 0)), 50));
  }

  private static Candidate steadyCandidate(String node, int percent, int distance) {
    return new Candidate(node, true, percent, distance);
  }

  @Test
  void scoreIsMeanOverWorkersOrShareThatReported() {
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
