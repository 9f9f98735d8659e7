package gladeknot.golden;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Converts controllers' calls to the form of a golden file: in order, each text once. */
final class SentCalls {
  private static final String COMMIT = "/commit";

  private SentCalls() {}

  /** Returns all distinct calls, numbered. */
  static Map<String, String> numbered(List<GoldenCluster.SentCall> calls) {
    Set<String> texts = new LinkedHashSet<>();
    calls.forEach(call -> texts.add(call.text()));
    Map<String, String> numbered = new LinkedHashMap<>();
    for (String text : texts) {
      numbered.put("call " + (numbered.size() + 1), text);
    }
    return numbered;
  }

  /** Returns the bodies of all distinct transactions, one line each. */
  static String commits(List<GoldenCluster.SentCall> calls) {
    return commitsOf(calls, "");
  }

  /** Returns the bodies of all distinct transactions that contain a text, one line each. */
  static String commitsOf(List<GoldenCluster.SentCall> calls, String content) {
    return calls.stream()
        .filter(sent -> sent.call().path().equals(COMMIT))
        .map(sent -> "node-" + sent.node() + " " + CanonicalJson.of(sent.call().body()))
        .filter(text -> text.contains(content))
        .distinct()
        .collect(Collectors.joining("\n"));
  }
}
