package gladeknot.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.TestMachineTypes;
import gladeknot.workers.MachineType;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the exact paths, field names and units of the cloud's API. */
class CloudCodecTest {
  private static final MachineType TYPE =
      TestMachineTypes.inThousandths(
          "small", 4000, 500, 16_000, 40, 0.5, 0.2, 0.1, 10_000_000, List.of("a", "b"));

  private static Outbox.Reply reply(int status, String body) {
    return new Outbox.Reply(status, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void scaleOutRequestUsesCloudFieldNames() {
    InstanceOffering offering = new InstanceOffering(TYPE, "a", true);
    ScaleOutRequest request = new ScaleOutRequest("node-0-7-1", offering, 3, 2);
    assertEquals(
        "{\"hire\":\"node-0-7-1\",\"hosttype\":\"small\",\"glade\":\"a\",\"loaners\":true,"
            + "\"number\":3}",
        new String(Json.bytes(CloudCodec.scaleOutRequest(request)), StandardCharsets.UTF_8));
  }

  @Test
  void releaseRequestUsesCloudFieldNames() {
    assertEquals(
        "{\"hosts\":[\"vm-000001\",\"vm-000002\"]}",
        new String(
            Json.bytes(CloudCodec.releaseRequest(List.of("vm-000001", "vm-000002"))),
            StandardCharsets.UTF_8));
  }

  @Test
  void instancePagePathContinuesAfterHost() {
    assertEquals("/rentals?most=500", CloudCodec.instancePagePath(""));
    assertEquals("/rentals?from=vm-000012&most=500", CloudCodec.instancePagePath("vm-000012"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "200; {\"hosts\":[\"vm-1\",\"vm-2\"]}; true; true; false",
        "200; {\"hosts\":[\"vm-1\"]}; true; false; false",
        "503; {\"error\":\"no capacity\"}; true; false; true",
        "503; {\"error\":\"trouble\"}; true; false; false",
        "500; {\"error\":\"no capacity\"}; true; false; false",
        "503; no JSON; true; false; true",
        "0; {}; false; false; false"
      })
  void scaleOutResponseIsClassifiedByStatusAndError(
      int status, String body, boolean answered, boolean fulfilled, boolean outOfCapacity) {
    CloudCodec.ScaleOutResponse response = CloudCodec.scaleOutResponse(reply(status, body));
    assertEquals(answered, response.answered());
    assertEquals(fulfilled, response.fulfils(2));
    assertEquals(outOfCapacity, response.outOfCapacity());
  }

  @Test
  void instancePageIsDecoded() {
    CloudCodec.InstancePage page =
        CloudCodec.instancePage(
            reply(
                200,
                "{\"hosts\":[{\"id\":\"vm-1\",\"endpoint\":\"h:9\",\"hosttype\":\"small\","
                    + "\"glade\":\"a\",\"loaners\":true,\"phase\":\"failed\"},"
                    + "{\"id\":\"vm-2\",\"phase\":\"running\"}],\"more\":true}"));
    assertEquals(
        List.of(
            new CloudCodec.ListedInstance("vm-1", "h:9", "small", "a", true, true),
            new CloudCodec.ListedInstance("vm-2", null, null, null, false, false)),
        page.instances());
    assertTrue(page.more());
    assertFalse(CloudCodec.instancePage(reply(200, "{}")).more());
  }

  @Test
  void machineTypesAreDecodedInThousandths() {
    String listed =
        "{\"hosttypes\":[{\"label\":\"small\",\"cores\":4.0,\"accelerators\":0.5,"
            + "\"memoryGb\":16,\"cacheGb\":40,\"fetchGbPerS\":0.5,\"rate\":0.2,"
            + "\"marketPrice\":0.1,\"readyS\":10,\"glades\":[\"a\",\"b\"]}]}";
    assertEquals(List.of(TYPE), CloudCodec.machineTypes(reply(200, listed)));
  }

  @Test
  void machineTypesWithoutRatesGetDefaults() {
    MachineType type =
        CloudCodec.machineTypes(reply(200, "{\"hosttypes\":[{\"label\":\"bare\"}]}")).get(0);
    assertEquals(0.1, type.fetchGbPerSecond());
    assertEquals(30_000_000, type.bootMicros());
    assertEquals(List.of(), type.zones());
  }
}
