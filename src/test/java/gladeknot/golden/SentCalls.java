package gladeknot.golden;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The calls of controllers as a golden file holds them: in order, each text once. */
final class SentCalls {
  private static final String COMMIT = "/commit";

  private SentCalls() {}

  /** All calls that differ, numbered. */
  static Map<String, String> numbered(List<GoldenCluster.Sent> calls) {
    Set<String> texts = new LinkedHashSet<>();
    calls.forEach(call -> texts.add(call.text()));
    Map<String, String> numbered = new LinkedHashMap<>();
    for (String text : texts) {
      numbered.put("call " + (numbered.size() + 1), text);
    }
    return numbered;
  }

  /** The bodies of all transactions that differ, a line each. */
  static String commits(List<GoldenCluster.Sent> calls) {
    return commitsOf(calls, "");
  }

  /** The same of those that name keys with a prefix. */
  static String commitsOf(List<GoldenCluster.Sent> calls, String prefix) {
    return calls.stream()
        .filter(sent -> sent.call().path().equals(COMMIT))
        .map(sent -> "node-" + sent.node() + " " + CanonicalJson.of(sent.call().body()))
        .filter(text -> text.contains(prefix))
        .distinct()
        .collect(Collectors.joining("\n"));
  }
}
