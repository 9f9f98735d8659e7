package gladeknot.state;

import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads single keys that the watch cache does not keep, within this controller's part of the
 * request rate. Reads of the same key that wait for a request token share one request. A refused
 * read waits again until its deadline.
 */
final class KeyReader {
  /** Time after which a read fails. */
  static final long TIMEOUT_MICROS = 1_500_000;

  /** A read that waits for a request token. */
  private record WaitingRead(long deadlineMicros, List<Consumer<KeyRead>> callbacks) {}

  private final StateServiceClient client;

  /** Reads that have not been sent, by key, the oldest first. */
  private final Map<String, WaitingRead> waiting = new LinkedHashMap<>();

  private long nowMicros;

  KeyReader(StateServiceClient client) {
    this.client = client;
  }

  /** Reads a key; the result reflects a time after this call. */
  void read(String key, Consumer<KeyRead> callback) {
    enqueue(key, nowMicros + TIMEOUT_MICROS, List.of(callback));
    sendWaiting();
  }

  /** Advances the time, sends waiting reads and fails those whose deadlines have passed. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    sendWaiting();
    failExpired();
  }

  private void enqueue(String key, long deadlineMicros, List<Consumer<KeyRead>> callbacks) {
    waiting
        .computeIfAbsent(key, absent -> new WaitingRead(deadlineMicros, new ArrayList<>()))
        .callbacks()
        .addAll(callbacks);
  }

  private void sendWaiting() {
    while (!waiting.isEmpty() && client.tryAcquireLookup()) {
      String key = waiting.keySet().iterator().next();
      send(key, waiting.remove(key));
    }
  }

  private void send(String key, WaitingRead read) {
    client.call(
        "GET",
        StateServiceCodec.keyPath(key),
        null,
        Math.max(1, read.deadlineMicros() - nowMicros),
        reply -> onReply(key, read, reply));
  }

  private void onReply(String key, WaitingRead read, Outbox.Reply reply) {
    if (reply.status() == StateServiceCodec.TOO_MANY_REQUESTS) {
      enqueue(key, read.deadlineMicros(), read.callbacks());
      return;
    }
    KeyRead result = StateServiceCodec.keyRead(reply);
    read.callbacks().forEach(callback -> callback.accept(result));
  }

  private void failExpired() {
    List<String> expired =
        waiting.entrySet().stream()
            .filter(entry -> entry.getValue().deadlineMicros() <= nowMicros)
            .map(Map.Entry::getKey)
            .toList();
    for (String key : expired) {
      waiting.remove(key).callbacks().forEach(callback -> callback.accept(new KeyRead.Failed()));
    }
  }
}
