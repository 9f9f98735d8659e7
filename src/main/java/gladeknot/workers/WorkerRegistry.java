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

/** All machines, by name. */
public final class WorkerRegistry implements HostDirectory {
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<Integer, Map<String, Worker>> byShard = new HashMap<>();
  private final Set<String> released = new HashSet<>();

  public Worker get(String host) {
    return workers.get(host);
  }

  public Collection<Worker> all() {
    return workers.values();
  }

  /** The machines of a shard that the state store has. */
  public Collection<Worker> inShard(int shard) {
    return byShard.getOrDefault(shard, Map.of()).values();
  }

  /** Whether a machine was given back: what still comes in its name is a late copy. */
  public boolean wasReleased(String host) {
    return released.contains(host);
  }

  /** Takes in a change of a key of machines. */
  public void onChange(String key, Entry before, Entry now) {
    Map<String, Object> old = before == null ? Map.of() : before.data();
    Map<String, Object> data = now == null ? Map.of() : now.data();
    data.forEach(
        (field, record) -> {
          if (!record.equals(old.get(field))) {
            String host = WorkerRecordCodec.host(key, field);
            if (record.equals(WorkerRecordCodec.RELEASED)) {
              released.add(host);
              onDeregistered(host);
            } else {
              onRegistered(host, (String) record);
            }
          }
        });
    for (String field : old.keySet()) {
      if (!data.containsKey(field)) {
        onDeregistered(WorkerRecordCodec.host(key, field));
      }
    }
  }

  private void onRegistered(String host, String record) {
    Worker w = workers.computeIfAbsent(host, Worker::new);
    int before = w.shard();
    boolean known = w.registered();
    w.read(record);
    if (known && before != w.shard()) {
      w.resetSession();
      byShard.get(before).remove(host);
    }
    byShard.computeIfAbsent(w.shard(), s -> new LinkedHashMap<>()).put(host, w);
  }

  private void onDeregistered(String host) {
    Worker w = workers.get(host);
    if (w == null) {
      return;
    }
    Map<String, Worker> shard = byShard.get(w.shard());
    if (shard != null) {
      shard.remove(host);
    }
    w.markDeregistered();
    if (w.attempts().isEmpty()) {
      workers.remove(host);
    }
  }

  @Override
  public String zone(String host) {
    Worker worker = workers.get(host);
    return worker == null ? null : worker.zone();
  }

  @Override
  public void attach(Attempt a) {
    workers.computeIfAbsent(a.host(), Worker::new).attempts().put(a.name(), a);
  }

  @Override
  public void detach(Attempt a) {
    Worker w = workers.get(a.host());
    if (w != null) {
      w.attempts().remove(a.name(), a);
      if (!w.registered() && w.attempts().isEmpty()) {
        workers.remove(a.host());
      }
    }
  }

  /** Forgets what a former owner's sessions of a shard said. */
  public void resetSessions(int shard) {
    inShard(shard).forEach(Worker::resetSession);
  }
}
