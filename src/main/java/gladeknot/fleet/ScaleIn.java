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
 * Releases instances that are idle, broken, lost or never came up. A worker's record is marked as
 * terminating before the cloud is asked to delete its instance.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** Maximum number of instances that the cloud's protocol releases per request. */
  private static final int MAX_HOSTS_PER_RELEASE = 100;

  /** Factor that extends the loss timeout while most workers of a zone miss heartbeats. */
  private static final int ZONE_LOSS_FACTOR = 4;

  /**
   * Minimum age of an idle instance before it is released, since an instance is charged for at
   * least a minute.
   */
  private static final long MIN_CHARGED_MICROS = 55_000_000;

  /** Boot time assumed for an unknown machine type. */
  private static final long DEFAULT_BOOT_MICROS = 60_000_000;

  /** Time added to the allowed boot time before an instance without heartbeats is given up. */
  private static final long BOOT_MARGIN_MICROS = 10_000_000;

  /** Reason for the release of an instance. The text appears in log lines. */
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

  /** Shards by host of the workers that are marked as terminating and wait for a release call. */
  private final Map<String, Integer> pendingReleases = new LinkedHashMap<>();

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

  /** Decides which machines of the owned shards to release, and sends the pending releases. */
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
        releaseReason(worker, shard).ifPresent(reason -> release(worker, reason));
      }
    }
  }

  /** Returns the reason to release a worker; empty if it stays. */
  private Optional<Reason> releaseReason(Worker worker, int shard) {
    boolean busy = !worker.attempts().isEmpty();
    if (worker.terminating()) {
      return Optional.of(Reason.ALREADY_TERMINATING);
    }
    if (worker.heartbeat() == null) {
      return releaseReasonWithoutHeartbeat(worker, shard, busy);
    }
    if (isLost(worker)) {
      return Optional.of(Reason.HEARTBEAT_TIMEOUT);
    }
    if (worker.isCordoned() && !busy) {
      return Optional.of(Reason.TASK_FAILURES);
    }
    if (worker.confirmedUnreachable() && !busy) {
      return Optional.of(Reason.UNREACHABLE);
    }
    return isSurplus(worker, busy) ? Optional.of(Reason.IDLE) : Optional.empty();
  }

  /**
   * Returns the reason to release a worker that has sent no heartbeat since its shard was acquired;
   * empty if it stays.
   */
  private Optional<Reason> releaseReasonWithoutHeartbeat(Worker worker, int shard, boolean busy) {
    MachineType type = catalog.type(worker.type());
    long bootMicros = type == null ? DEFAULT_BOOT_MICROS : type.bootMicros();
    long ageMicros = Math.max(0, clock.wallMicros() - worker.launchedWallMicros());
    long ownedMicros = clock.nowMicros() - membership.ownedSinceMicros(shard);
    long graceMicros = busy ? health.lossTimeoutMicros() : health.returnGraceMicros();
    // Boots sometimes take longer than listed, so 2.25 times the boot time is allowed.
    if (ageMicros <= 2 * bootMicros + bootMicros / 4 + BOOT_MARGIN_MICROS
        || ownedMicros <= graceMicros) {
      return Optional.empty();
    }
    return Optional.of(busy ? Reason.HEARTBEAT_TIMEOUT : Reason.NEVER_STARTED);
  }

  private boolean isLost(Worker worker) {
    long sinceHeartbeatMicros = clock.nowMicros() - worker.heartbeatMicros();
    long timeoutMicros = health.lossTimeoutMicros();
    return sinceHeartbeatMicros > timeoutMicros
        && (sinceHeartbeatMicros > ZONE_LOSS_FACTOR * timeoutMicros
            || !isZoneTimedOut(worker.zone()));
  }

  /**
   * Records whether a worker is busy or idle. Returns whether it has been idle for long enough and
   * is not needed for the expected load.
   */
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
   * Returns whether most workers of a zone miss heartbeats. The zone is then more likely
   * partitioned than each worker broken, and the workers will be of use after the partition.
   */
  private boolean isZoneTimedOut(String zone) {
    int total = 0;
    int timedOut = 0;
    for (Worker worker : workers.all()) {
      if (worker.heartbeat() != null && worker.zone().equals(zone)) {
        total++;
        timedOut += WorkerHealth.timedOut(worker, clock.nowMicros()) ? 1 : 0;
      }
    }
    return timedOut >= 2 && timedOut * 2 > total;
  }

  /** Marks a worker as terminating and schedules the release of its instance. */
  void release(Worker worker, Reason reason) {
    worker.setReleasing(true);
    String host = worker.host();
    int shard = worker.shard();
    LOG.info("instance releasing host={} shard={} reason={}", host, shard, reason);
    if (worker.terminating()) {
      pendingReleases.put(host, shard);
      return;
    }
    records.markTerminating(
        worker,
        committed -> {
          if (committed) {
            pendingReleases.put(host, shard);
          } else {
            worker.setReleasing(false);
          }
        });
  }

  /** Sends the pending releases, many instances in one call. */
  private void sendReleases() {
    if (pendingReleases.isEmpty()) {
      return;
    }
    Map<String, Integer> batch = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> pending : pendingReleases.entrySet()) {
      if (batch.size() < MAX_HOSTS_PER_RELEASE) {
        batch.put(pending.getKey(), pending.getValue());
      }
    }
    List<String> hosts = new ArrayList<>(batch.keySet());
    boolean sent =
        cloud.release(
            hosts, released -> batch.forEach((host, shard) -> onReply(host, shard, released)));
    if (sent) {
      pendingReleases.keySet().removeAll(hosts);
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
