package gladeknot.workers;

import gladeknot.ledger.Ledger;
import gladeknot.placement.Attempt;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All machines, by name. */
public final class WorkerBook {
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  public Worker get(String host) {
    return workers.get(host);
  }

  public Collection<Worker> all() {
    return workers.values();
  }

  public List<Worker> of(int shard) {
    return workers.values().stream().filter(w -> w.shard() == shard && w.stamp() != 0).toList();
  }

  /** Takes in a change of a machine's key. */
  public void changed(String key, Ledger.Entry entry) {
    String host = key.substring(Worker.KEYS.length());
    if (entry != null) {
      Worker w = workers.computeIfAbsent(host, Worker::new);
      int before = w.shard();
      boolean known = w.stamp() != 0;
      w.read(entry);
      if (known && before != w.shard()) {
        w.forget();
      }
    } else {
      Worker w = workers.get(host);
      if (w != null && w.attempts().isEmpty()) {
        workers.remove(host);
      } else if (w != null) {
        w.read(
            new Ledger.Entry(Map.of("t", w.type(), "z", w.zone(), "s", w.shard(), "x", true), 0));
      }
    }
  }

  /** Notes an attempt on its machine, known or not. */
  public void put(Attempt a) {
    workers.computeIfAbsent(a.host(), Worker::new).attempts().put(a.name(), a);
  }

  public void remove(Attempt a) {
    Worker w = workers.get(a.host());
    if (w != null) {
      w.attempts().remove(a.name(), a);
      if (w.stamp() == 0 && w.attempts().isEmpty()) {
        workers.remove(a.host());
      }
    }
  }

  /** Forgets what a former owner's sessions of a shard said. */
  public void forget(int shard) {
    workers.values().stream().filter(w -> w.shard() == shard).forEach(Worker::forget);
  }
}
