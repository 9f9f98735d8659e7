package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The time of the answer from which a worker's lease counts, with late heartbeats. */
class WorkerSessionTest {
  private static final long TERM = 7;

  private final WorkerSession session = new WorkerSession();

  private static Heartbeat heartbeat(long incarnation, long sequence, long token) {
    return new Heartbeat(
        "vm-000001",
        "vm-000001:9",
        "small",
        "a",
        false,
        incarnation,
        sequence,
        token,
        OptionalDouble.empty(),
        List.of());
  }

  @Test
  void answerThatWorkerHasNotSeenRenewsNoLease() {
    session.onHeartbeat(heartbeat(1, 5, TERM), 10);
    session.onAnswered(11, TERM);
    session.onHeartbeat(heartbeat(1, 6, TERM), 20);
    session.onAnswered(21, TERM + 1);
    session.onHeartbeat(heartbeat(1, 7, TERM), 30);
    assertEquals(11, session.answeredMicros());
  }

  /** Its token is low because it is old, not because the last answer was lost. */
  @Test
  void heartbeatFromBeforeRestartShortensNoLease() {
    session.onHeartbeat(heartbeat(5, 900, TERM), 10);
    session.onAnswered(11, TERM);
    session.onRestart(TERM);
    session.onHeartbeat(heartbeat(1, 2, 0), 20);
    session.onAnswered(21, TERM + 1);
    session.onHeartbeat(heartbeat(5, 901, TERM), 30);
    assertEquals(21, session.answeredMicros());
  }

  @Test
  void onlyTokenTellsWhichHeartbeatsFollowRestart() {
    session.onHeartbeat(heartbeat(5, 900, TERM), 10);
    session.onRestart(TERM);
    assertTrue(session.mayPrecedeRestart(heartbeat(5, 901, TERM)));
    assertTrue(session.mayPrecedeRestart(heartbeat(1, 3, 0)));
    assertFalse(session.mayPrecedeRestart(heartbeat(1, 4, TERM + 1)));
  }
}
