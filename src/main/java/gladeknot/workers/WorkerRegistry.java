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
 * All known machines by name: machines with a record in the state service, and machines to which
 * attempts are assigned.
 */
public final class WorkerRegistry implements HostDirectory {
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<Integer, Map<String, Worker>> byShard = new HashMap<>();
  private final Set<String> released = new HashSet<>();

  /** Returns the worker on a machine; null if the machine is not known. */
  public Worker get(String host) {
    return workers.get(host);
  }

  /** Returns a view of all machines, in the order in which they became known. */
  public Collection<Worker> all() {
    return workers.values();
  }

  /** Returns a view of the machines of a shard that have a record in the state service. */
  public Collection<Worker> inShard(int shard) {
    return byShard.getOrDefault(shard, Map.of()).values();
  }

  /** Returns whether a machine was released. Messages that still arrive from it were delayed. */
  public boolean wasReleased(String host) {
    return released.contains(host);
  }

  /** Applies a change of a key that holds machine records. */
  public void onChange(String key, Entry before, Entry now) {
    Map<String, Object> oldData = before == null ? Map.of() : before.data();
    Map<String, Object> data = now == null ? Map.of() : now.data();
    data.forEach(
        (field, record) -> {
          if (!record.equals(oldData.get(field))) {
            onRecord(WorkerRecordCodec.host(key, field), (String) record);
          }
        });
    for (String field : oldData.keySet()) {
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
    boolean wasRegistered = worker.registered();
    worker.onRegistered(record);
    if (wasRegistered && shardBefore != worker.shard()) {
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

  /** Discards the sessions of a shard's workers after the shard was released. */
  public void resetSessions(int shard) {
    inShard(shard).forEach(Worker::resetSession);
  }
}
