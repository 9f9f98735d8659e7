package gladeknot.standin;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checksum over everything that the controllers of one simulated cluster send: calls, answers and
 * peer messages, each with its time and its sender.
 *
 * <p>JSON objects are compared by field name, because the iteration order of {@code Map.of} differs
 * between Java processes. For the same reason the conditions of a transaction are compared as a
 * set. The order of every other list counts.
 */
final class BehaviourFingerprint {
  /** Field of a transaction that holds its conditions, which are a set. */
  private static final String CONDITIONS = "if";

  private static final int PRINTED_DIGITS = 16;

  private final Hasher calls = Hashing.sha256().newHasher();
  private final Hasher answers = Hashing.sha256().newHasher();
  private final Hasher messages = Hashing.sha256().newHasher();
  private long callCount;
  private long answerCount;
  private long messageCount;
  private long messageBytes;

  /** Adds a call that a controller makes to another service. */
  void call(long nowMicros, int node, Outbox.Call call) {
    callCount++;
    add(calls, nowMicros, node, call.address(), call.method(), call.path());
    calls.putLong(call.timeoutMicros());
    addBody(calls, call.body());
  }

  /** Adds a controller's answer to a request. */
  void answer(long nowMicros, int node, Outbox.Answer answer) {
    answerCount++;
    add(answers, nowMicros, node);
    answers.putLong(answer.request()).putInt(answer.status()).putInt(answer.retryAfterSeconds());
    addBody(answers, answer.body());
  }

  /** Adds a peer message from one controller to all others. */
  void message(long nowMicros, int node, PeerMessage message) {
    byte[] encoded = message.encode();
    messageCount++;
    messageBytes += encoded.length;
    add(messages, nowMicros, node);
    messages.putInt(encoded.length).putBytes(encoded);
  }

  /** Returns one line with all counts and checksums, and a checksum over the stored records. */
  String line(FakeStateStore store) {
    Hasher state = Hashing.sha256().newHasher();
    List<String> keys = store.keys("");
    for (String key : keys) {
      add(state, 0, 0, key, canonical("", store.get(key)));
    }
    return String.join(
        " ",
        "calls=" + callCount + ":" + digits(calls),
        "answers=" + answerCount + ":" + digits(answers),
        "messages=" + messageCount + ":" + messageBytes + ":" + digits(messages),
        "stored=" + keys.size() + ":" + digits(state));
  }

  private static String digits(Hasher hasher) {
    return hasher.hash().toString().substring(0, PRINTED_DIGITS);
  }

  private static void add(Hasher hasher, long nowMicros, int node, String... texts) {
    hasher.putLong(nowMicros).putInt(node);
    for (String text : texts) {
      hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
  }

  private static void addBody(Hasher hasher, byte[] body) {
    String text;
    try {
      text = body.length == 0 ? "" : canonical("", Json.parse(body));
    } catch (IOException e) {
      text = new String(body, StandardCharsets.UTF_8);
    }
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }

  /** Returns a JSON value as text that does not depend on the order of fields. */
  private static String canonical(String field, Object value) {
    if (value instanceof Map<?, ?> map) {
      Map<String, String> sorted = new TreeMap<>();
      map.forEach((name, inner) -> sorted.put((String) name, canonical((String) name, inner)));
      return sorted.toString();
    }
    if (value instanceof List<?> list) {
      List<String> texts = new ArrayList<>();
      list.forEach(inner -> texts.add(canonical("", inner)));
      if (field.equals(CONDITIONS)) {
        texts.sort(null);
      }
      return texts.toString();
    }
    return value instanceof String text ? '"' + text + '"' : String.valueOf(value);
  }
}
