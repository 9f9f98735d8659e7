package gladeknot.workers;

import gladeknot.state.Entry;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.HostDirectory;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * All machines by name: those that the state store has, and those that attempts are assigned to.
 */
public final class WorkerRegistry implements HostDirectory {
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<Integer, Map<String, Worker>> byShard = new HashMap<>();
  private final Set<String> released = new HashSet<>();

  /** The worker on a machine; null if it is not known. */
  public Worker get(String host) {
    return workers.get(host);
  }

  /** All machines, in the order in which they became known; a view. */
  public Collection<Worker> all() {
    return workers.values();
  }

  /** The machines of a shard that the state store has; a view. */
  public Collection<Worker> inShard(int shard) {
    return byShard.getOrDefault(shard, Map.of()).values();
  }

  /** Whether a machine was released: what still arrives in its name was delayed. */
  public boolean wasReleased(String host) {
    return released.contains(host);
  }

  /** Follows a change of a key that holds machines. */
  public void onChange(String key, Entry before, Entry now) {
    Map<String, Object> old = before == null ? Map.of() : before.data();
    Map<String, Object> data = now == null ? Map.of() : now.data();
    data.forEach(
        (field, record) -> {
          if (!record.equals(old.get(field))) {
            onRecord(WorkerRecordCodec.host(key, field), (String) record);
          }
        });
    for (String field : old.keySet()) {
      if (!data.containsKey(field)) {
        onDeregistered(WorkerRecordCodec.host(key, field));
      }
    }
  }

  private void onRecord(String host, String stored) {
    if (stored.equals(WorkerRecordCodec.RELEASED)) {
      released.add(host);
      onDeregistered(host);
    } else {
      onRegistered(host, WorkerRecordCodec.decode(stored));
    }
  }

  private void onRegistered(String host, WorkerRecord record) {
    Worker worker = workers.computeIfAbsent(host, Worker::new);
    int shardBefore = worker.shard();
    boolean known = worker.registered();
    worker.onRegistered(record);
    if (known && shardBefore != worker.shard()) {
      worker.resetSession();
      byShard.get(shardBefore).remove(host);
    }
    byShard.computeIfAbsent(worker.shard(), shard -> new LinkedHashMap<>()).put(host, worker);
  }

  private void onDeregistered(String host) {
    Worker worker = workers.get(host);
    if (worker == null) {
      return;
    }
    Map<String, Worker> shard = byShard.get(worker.shard());
    if (shard != null) {
      shard.remove(host);
    }
    worker.onDeregistered();
    if (worker.attempts().isEmpty()) {
      workers.remove(host);
    }
  }

  @Override
  public String zone(String host) {
    Worker worker = workers.get(host);
    return worker == null ? null : worker.zone();
  }

  @Override
  public void attach(Attempt attempt) {
    workers.computeIfAbsent(attempt.host(), Worker::new).attempts().put(attempt.name(), attempt);
  }

  @Override
  public void detach(Attempt attempt) {
    Worker worker = workers.get(attempt.host());
    if (worker != null) {
      worker.attempts().remove(attempt.name(), attempt);
      if (!worker.registered() && worker.attempts().isEmpty()) {
        workers.remove(attempt.host());
      }
    }
  }

  /** Forgets the sessions of a shard's workers, as the shard was released. */
  public void resetSessions(int shard) {
    inShard(shard).forEach(Worker::resetSession);
  }
}
