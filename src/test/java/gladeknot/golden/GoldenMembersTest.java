package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.MICROS_PER_SECOND;

import gladeknot.peer.PeerMessage;
import gladeknot.settings.Features;
import gladeknot.standin.FeatureSettings;
import gladeknot.standin.TestJobs;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards the formats of peer messages, of controllers' own records and of their status. */
class GoldenMembersTest {
  private static final int MEMBERS = 3;
  private static final int MAX_RECORDS = 12;

  private final Map<String, String> results = new LinkedHashMap<>();

  private static GoldenCluster cluster(Features features) {
    GoldenCluster cluster = new GoldenCluster(MEMBERS, GoldenCluster.SPLIT_LAYOUT);
    return cluster.start(features, 0, 1, 2).run(5 * MICROS_PER_SECOND);
  }

  /** All members start and commit the storage format; then one of them stops. */
  @Test
  void startAndFailoverStoreAndSendTheSameRecords() {
    GoldenCluster cluster = cluster(Features.NONE);
    results.put("stored once all are up", cluster.stored(""));
    cluster.stop(2);
    cluster.run(25 * MICROS_PER_SECOND);
    results.put("stored once one is gone", cluster.stored(""));
    results.put("commits", SentCalls.commits(cluster.calls));
    new GoldenFile("members/start-and-takeover.txt").checkAll(results);
  }

  /** A gang exceeds its shard's share of the quota, and is then cancelled. */
  @Test
  void messagesBetweenControllersKeepTheirBytes() {
    GoldenCluster cluster = cluster(Features.NONE);
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-gang", "ensemble", 20));
    cluster.run(5 * MICROS_PER_SECOND);
    cluster.responseText(0, "POST", "/work/req-gang/abort", null);
    new GoldenFile("members/records.txt").checkAll(records(cluster.messages));
  }

  @Test
  void partialCutsKeepMessagesAndStatus() {
    GoldenCluster cluster = cluster(FeatureSettings.partialCuts());
    new GoldenFile("members/partial-cuts-records.txt").checkAll(records(cluster.messages));
    results.put("status", CanonicalJson.of(cluster.controller(0).status()).replace("},{", "},\n{"));
    cluster.stop(2);
    cluster.run(25 * MICROS_PER_SECOND);
    String later = CanonicalJson.of(cluster.controller(0).status()).replace("},{", "},\n{");
    results.put("status once one is gone", later);
    new GoldenFile("members/partial-cuts-status.txt").checkAll(results);
  }

  /** Returns the first distinct messages as hexadecimal text, numbered. */
  private static Map<String, String> records(List<PeerMessage> messages) {
    Set<String> texts = new LinkedHashSet<>();
    messages.forEach(message -> texts.add(HexFormat.of().formatHex(message.encode())));
    Map<String, String> numbered = new LinkedHashMap<>();
    texts.stream()
        .limit(MAX_RECORDS)
        .forEach(text -> numbered.put("record " + (numbered.size() + 1), text));
    return numbered;
  }
}
