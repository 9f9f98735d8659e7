package gladeknot.fleet;

import gladeknot.connectivity.ControlAction;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases instances that are idle, broken, lost or never came up. A worker's record is marked
 * before the cloud is asked to delete its instance.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** The most instances that the protocol lets one request release. */
  private static final int MAX_RELEASED = 100;

  /** How many times as long a worker is kept while most workers of its zone are lost. */
  private static final int ZONE_LOSS_FACTOR = 4;

  /** An instance is charged for a minute at least. */
  private static final long MIN_CHARGED_MICROS = 55_000_000;

  /** The boot time that is assumed of an unknown type. */
  private static final long UNKNOWN_READY_MICROS = 60_000_000;

  /** How much longer than its boot an instance may take before it is given up. */
  private static final long READY_MARGIN_MICROS = 10_000_000;

  /** Why an instance is released; the text stands in log lines. */
  enum Reason {
    ALREADY_TERMINATING("already_terminating"),
    HEARTBEAT_TIMEOUT("heartbeat_timeout"),
    NEVER_STARTED("never_started"),
    TASK_FAILURES("task_failures"),
    UNREACHABLE("unreachable"),
    IDLE("idle"),
    FAILED("instance_failed");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  private final Policy policy;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final WorkerRecords records;
  private final TaskLifecycle lifecycle;
  private final CloudClient cloud;
  private final InstanceCatalog catalog;
  private final WorkerHealth health;
  private final FleetClock clock;

  /** Hosts marked as terminating that wait for a call to the cloud, with their shards. */
  private final Map<String, Integer> toRelease = new LinkedHashMap<>();

  ScaleIn(
      Policy policy,
      Membership membership,
      WorkerRegistry workers,
      WorkerRecords records,
      TaskLifecycle lifecycle,
      CloudClient cloud,
      InstanceCatalog catalog,
      WorkerHealth health,
      FleetClock clock) {
    this.policy = policy;
    this.membership = membership;
    this.workers = workers;
    this.records = records;
    this.lifecycle = lifecycle;
    this.cloud = cloud;
    this.catalog = catalog;
    this.health = health;
    this.clock = clock;
  }

  /** Releases machines of the owned shards, and sends the releases that wait. */
  void step() {
    for (int shard : List.copyOf(membership.ownedShards())) {
      if (membership.permits(ControlAction.SCALE_IN, shard)) {
        scaleIn(shard);
      }
    }
    sendReleases();
  }

  private void scaleIn(int shard) {
    for (Worker worker : workers.inShard(shard)) {
      if (!worker.releasing()) {
        reason(worker, shard).ifPresent(reason -> release(worker, reason));
      }
    }
  }

  /** Why a worker is to be released; empty if it stays. */
  private Optional<Reason> reason(Worker worker, int shard) {
    boolean busy = !worker.attempts().isEmpty();
    if (worker.terminating()) {
      return Optional.of(Reason.ALREADY_TERMINATING);
    }
    if (worker.heartbeat() == null) {
      return reasonWithoutHeartbeat(worker, shard, busy);
    }
    if (isLost(worker)) {
      return Optional.of(Reason.HEARTBEAT_TIMEOUT);
    }
    if (worker.consecutiveFailures() >= WorkerHealth.MAX_CONSECUTIVE_FAILURES && !busy) {
      return Optional.of(Reason.TASK_FAILURES);
    }
    if (worker.confirmedUnreachable() && !busy) {
      return Optional.of(Reason.UNREACHABLE);
    }
    return isSurplus(worker, busy) ? Optional.of(Reason.IDLE) : Optional.empty();
  }

  /** The same for a worker without a heartbeat since its shard was acquired. */
  private Optional<Reason> reasonWithoutHeartbeat(Worker worker, int shard, boolean busy) {
    MachineType type = catalog.type(worker.type());
    long readyMicros = type == null ? UNKNOWN_READY_MICROS : type.readyMicros();
    long ageMicros = Math.max(0, clock.wallMicros() - worker.launchedWallMicros());
    long ownedMicros = clock.nowMicros() - membership.ownedSinceMicros(shard);
    long graceMicros = busy ? health.lossTimeoutMicros() : health.returnGraceMicros();
    // Twice the boot time and a quarter: boots take longer at times.
    if (ageMicros <= 2 * readyMicros + readyMicros / 4 + READY_MARGIN_MICROS
        || ownedMicros <= graceMicros) {
      return Optional.empty();
    }
    return Optional.of(busy ? Reason.HEARTBEAT_TIMEOUT : Reason.NEVER_STARTED);
  }

  private boolean isLost(Worker worker) {
    long sinceMicros = clock.nowMicros() - worker.heartbeatMicros();
    long timeoutMicros = health.lossTimeoutMicros();
    return sinceMicros > timeoutMicros
        && (sinceMicros > ZONE_LOSS_FACTOR * timeoutMicros || !isZoneTimedOut(worker.zone()));
  }

  /** Whether nothing has run on a worker for a while, and no expected load needs it. */
  private boolean isSurplus(Worker worker, boolean busy) {
    if (busy || !worker.heartbeat().tasks().isEmpty()) {
      worker.markBusy();
      return false;
    }
    worker.markIdle(clock.nowMicros());
    return clock.nowMicros() - worker.idleSinceMicros() > policy.micros(Policy.Name.IDLE_KEEP)
        && worker.surplus()
        && clock.wallMicros() - worker.launchedWallMicros() > MIN_CHARGED_MICROS;
  }

  /**
   * Whether most workers of a zone miss heartbeats: then the zone is partitioned rather than each
   * of them broken, and they will be of use after the partition.
   */
  private boolean isZoneTimedOut(String zone) {
    int all = 0;
    int timedOut = 0;
    for (Worker worker : workers.all()) {
      if (worker.heartbeat() != null && worker.zone().equals(zone)) {
        all++;
        timedOut += WorkerHealth.timedOut(worker, clock.nowMicros()) ? 1 : 0;
      }
    }
    return timedOut >= 2 && timedOut * 2 > all;
  }

  /** Marks a worker as terminating and has its instance released. */
  void release(Worker worker, Reason reason) {
    worker.setReleasing(true);
    String host = worker.host();
    int shard = worker.shard();
    LOG.info("instance releasing host={} shard={} reason={}", host, shard, reason);
    if (worker.terminating()) {
      toRelease.put(host, shard);
      return;
    }
    records.markTerminating(
        worker,
        committed -> {
          if (committed) {
            toRelease.put(host, shard);
          } else {
            worker.setReleasing(false);
          }
        });
  }

  /** Releases what waits for it, many instances with one call. */
  private void sendReleases() {
    if (toRelease.isEmpty()) {
      return;
    }
    Map<String, Integer> batch = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> waiting : toRelease.entrySet()) {
      if (batch.size() < MAX_RELEASED) {
        batch.put(waiting.getKey(), waiting.getValue());
      }
    }
    List<String> hosts = new ArrayList<>(batch.keySet());
    boolean sent =
        cloud.release(
            hosts, released -> batch.forEach((host, shard) -> onReply(host, shard, released)));
    if (sent) {
      toRelease.keySet().removeAll(hosts);
    }
  }

  private void onReply(String host, int shard, boolean released) {
    Worker worker = workers.get(host);
    if (!released) {
      if (worker != null) {
        worker.setReleasing(false);
      }
      return;
    }
    lifecycle.onWorkerReleased(host);
    if (worker != null && worker.registered()) {
      records.markReleased(worker, shard);
    }
  }
}
