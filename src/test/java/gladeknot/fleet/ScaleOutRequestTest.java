package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.TestMachineTypes;
import gladeknot.workers.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the states of a scale-out request from its first call to its final answer. */
class ScaleOutRequestTest {
  private static final CloudCodec.ScaleOutResponse NO_ANSWER =
      new CloudCodec.ScaleOutResponse(0, List.of(), false);

  private static ScaleOutRequest request() {
    MachineType type =
        TestMachineTypes.inThousandths(
            "small", 4000, 0, 16_000, 40, 0.5, 0.2, 0.1, 10_000_000, List.of("a"));
    return new ScaleOutRequest("node-0-1-1", new InstanceOffering(type, "a", false), 2, 0);
  }

  private static CloudCodec.ScaleOutResponse response(int status, String... hosts) {
    return new CloudCodec.ScaleOutResponse(status, List.of(hosts), false);
  }

  @Test
  void isFulfilledWhenAllInstancesStarted() {
    ScaleOutRequest request = request();
    assertEquals(ScaleOutRequest.State.PENDING, request.state());
    assertEquals(ScaleOutRequest.State.FULFILLED, request.onReply(response(200, "vm-1", "vm-2")));
    assertEquals(ScaleOutRequest.State.FULFILLED, request.state());
  }

  @Test
  void failsWithFewerInstancesOrAnError() {
    assertEquals(ScaleOutRequest.State.FAILED, request().onReply(response(200, "vm-1")));
    assertEquals(ScaleOutRequest.State.FAILED, request().onReply(response(503)));
  }

  @Test
  void failsAfterFourCallsWithoutAnswer() {
    ScaleOutRequest request = request();
    for (int retry = 1; retry <= 3; retry++) {
      assertEquals(ScaleOutRequest.State.RETRYING, request.onReply(NO_ANSWER));
    }
    assertEquals(ScaleOutRequest.State.FAILED, request.onReply(NO_ANSWER));
  }

  @Test
  void canBeFulfilledByRetry() {
    ScaleOutRequest request = request();
    assertEquals(ScaleOutRequest.State.RETRYING, request.onReply(NO_ANSWER));
    assertEquals(ScaleOutRequest.State.FULFILLED, request.onReply(response(200, "vm-1", "vm-2")));
  }
}
