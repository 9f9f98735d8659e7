package gladeknot.state;

import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads keys that the watch cache does not keep, within this controller's part of the request rate.
 * A record may move from one of the keys to another, so a transaction without writes first finds
 * out which of them exist, all at the same revision. Reads of the same keys that wait for a request
 * token share one request. A refused read waits again until its deadline.
 *
 * <p>A result that arrives after the deadline counts as failed: this process may have stood still
 * meanwhile, and what the state service returned may be outdated.
 */
final class KeyReader {
  /** Time after which a read fails. */
  static final long TIMEOUT_MICROS = 1_500_000;

  /** Revision in the precondition for a key that must not exist. */
  private static final long ABSENT = 0;

  /** A read of the one key that exists among some keys. */
  private record PendingRead(
      List<String> keys, long deadlineMicros, List<Consumer<KeyRead>> callbacks) {
    void finish(KeyRead result) {
      callbacks.forEach(callback -> callback.accept(result));
    }
  }

  private final StateServiceClient client;

  /** Reads that have not been sent, by their keys, the oldest first. */
  private final Map<List<String>, PendingRead> waiting = new LinkedHashMap<>();

  private long nowMicros;

  KeyReader(StateServiceClient client) {
    this.client = client;
  }

  /** Reads the one key that exists among some keys, as of a time after this call. */
  void readAny(List<String> keys, Consumer<KeyRead> callback) {
    enqueue(new PendingRead(keys, nowMicros + TIMEOUT_MICROS, List.of(callback)));
    sendWaiting();
  }

  /** Advances the time, sends waiting reads and fails those whose deadlines have passed. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    failExpired();
    sendWaiting();
  }

  private void enqueue(PendingRead read) {
    waiting
        .computeIfAbsent(
            read.keys(), keys -> new PendingRead(keys, read.deadlineMicros(), new ArrayList<>()))
        .callbacks()
        .addAll(read.callbacks());
  }

  private void sendWaiting() {
    while (!waiting.isEmpty() && client.tryAcquireLookup()) {
      findExisting(waiting.remove(waiting.keySet().iterator().next()));
    }
  }

  private void findExisting(PendingRead read) {
    Map<String, Long> allAbsent = new LinkedHashMap<>();
    read.keys().forEach(key -> allAbsent.put(key, ABSENT));
    client.call(
        "POST",
        TransactionCodec.PATH,
        TransactionCodec.body(allAbsent, List.of()),
        remainingMicros(read),
        reply -> onFound(read, TransactionCodec.outcome(reply)));
  }

  private void onFound(PendingRead read, CommitOutcome outcome) {
    if (isExpired(read)) {
      read.finish(new KeyRead.Failed());
      return;
    }
    switch (outcome.status()) {
      case COMMITTED -> read.finish(new KeyRead.Absent());
      case CONFLICT -> readExisting(read, outcome.conflictingKeys().get(0));
      case THROTTLED -> enqueue(read);
      case UNAVAILABLE, REJECTED, UNKNOWN -> read.finish(new KeyRead.Failed());
    }
  }

  private void readExisting(PendingRead read, String key) {
    client.callUnthrottled(
        "GET",
        StateServiceCodec.keyPath(key),
        null,
        remainingMicros(read),
        reply -> onRead(read, reply));
  }

  private void onRead(PendingRead read, Outbox.Reply reply) {
    KeyRead result = StateServiceCodec.keyRead(reply);
    boolean moved = result instanceof KeyRead.Absent;
    if (isExpired(read)) {
      read.finish(new KeyRead.Failed());
    } else if (moved || reply.status() == StateServiceCodec.TOO_MANY_REQUESTS) {
      enqueue(read);
    } else {
      read.finish(result);
    }
  }

  private boolean isExpired(PendingRead read) {
    return nowMicros >= read.deadlineMicros();
  }

  private long remainingMicros(PendingRead read) {
    return Math.max(1, read.deadlineMicros() - nowMicros);
  }

  private void failExpired() {
    List<PendingRead> expired = waiting.values().stream().filter(this::isExpired).toList();
    expired.forEach(read -> waiting.remove(read.keys()));
    expired.forEach(read -> read.finish(new KeyRead.Failed()));
  }
}
