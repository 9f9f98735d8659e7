package gladeknot.connectivity;

import gladeknot.connectivity.ShardView.WorkerAddress;
import gladeknot.http.Outbox;
import java.util.ArrayList;
import java.util.List;

/**
 * Asks a few workers of the shards that belong to this controller for their state while another
 * owns them: no reports come here then, and without evidence a shard would go home to a controller
 * that still can't reach its workers, and back.
 */
final class WorkerProbes {
  private static final long INTERVAL_MICROS = 2_000_000;
  private static final long CALL_MICROS = 1_500_000;

  /** Workers asked at a time, in turns. */
  private static final int PROBES = 3;

  private static final int OK = 200;

  private final String self;
  private final ShardView shards;
  private final Outbox outbox;
  private final WorkerLinkObserver observer;
  private long nextMicros;
  private int turn;

  WorkerProbes(String self, ShardView shards, Outbox outbox, WorkerLinkObserver observer) {
    this.self = self;
    this.shards = shards;
    this.outbox = outbox;
    this.observer = observer;
  }

  void tick(long now) {
    if (now < nextMicros) {
      return;
    }
    nextMicros = now + INTERVAL_MICROS;
    for (int shard = 0; shard < shards.shards(); shard++) {
      if (self.equals(shards.home(shard)) && !shards.ours(shard)) {
        probe(shard, now);
      }
    }
  }

  private void probe(int shard, long now) {
    List<WorkerAddress> known = new ArrayList<>(shards.workers(shard));
    known.removeIf(w -> w.endpoint() == null);
    for (int i = 0; i < Math.min(PROBES, known.size()); i++) {
      WorkerAddress worker = known.get(Math.floorMod(turn++, known.size()));
      outbox.call(
          worker.endpoint(),
          "GET",
          "/status",
          null,
          CALL_MICROS,
          reply -> observer.probed(worker.zone(), now, reply.status() == OK));
    }
  }
}
