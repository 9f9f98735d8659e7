package gladeknot.fleet;

import gladeknot.commit.FieldMutation;
import gladeknot.commit.MutationCallback;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.json.Json;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.TokenBucket;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecordCodec;
import gladeknot.workers.WorkerRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives machines back to the cloud: those that are idle, broken, silent or never came up. A machine
 * is marked in the state service before the cloud is asked to delete it.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
  private static final long CALL_MICROS = 8_000_000;

  /** The most that the protocol lets one request name. */
  private static final int MAX_RELEASED = 100;

  /** Failures in a row after which a machine gets nothing new and is given back. */
  static final int MAX_ERRORS = 4;

  /** A machine that has not reported for this long is not counted on. */
  static final long SILENT_MICROS = 8_000_000;

  /** The least time that a machine has to come back after a restart of its controller. */
  private static final long MIN_BACK_MICROS = 10_000_000;

  /** A machine that has been silent for so many leases is given up. */
  private static final int SILENT_LEASES = 3;

  /** How many times as long one is kept whose whole zone is silent. */
  private static final int ZONE_PATIENCE = 4;

  /** A machine is charged for a minute at least. */
  private static final long MIN_CHARGED_MICROS = 55_000_000;

  /** What a machine of an unknown type is thought to take to boot. */
  private static final long UNKNOWN_READY_MICROS = 60_000_000;

  /** How much longer than its boot a machine may take before it is given up. */
  private static final long READY_MARGIN_MICROS = 10_000_000;

  private final Settings settings;
  private final Policy policy;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final TransactionCommitter recordWriter;
  private final TaskLifecycle scheduler;
  private final Outbox outbox;
  private final TokenBucket tokens;
  private final Function<String, MachineType> types;

  /** Machines marked for release that wait for a call to the cloud, with their shards. */
  private final Map<String, Integer> toRelease = new LinkedHashMap<>();

  private long nowMicros;
  private long wallMicros;

  ScaleIn(
      Settings settings,
      Policy policy,
      Membership membership,
      WorkerRegistry workers,
      TransactionCommitter recordWriter,
      TaskLifecycle scheduler,
      Outbox outbox,
      TokenBucket tokens,
      Function<String, MachineType> types) {
    this.settings = settings;
    this.policy = policy;
    this.membership = membership;
    this.workers = workers;
    this.recordWriter = recordWriter;
    this.scheduler = scheduler;
    this.outbox = outbox;
    this.tokens = tokens;
    this.types = types;
  }

  /** Looks at the machines of the shards that are ours, and sends what waits. */
  void step(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    for (int shard : List.copyOf(membership.ownedShards())) {
      if (membership.permits(ControlAction.SCALE_IN, shard)) {
        giveBack(shard);
      }
    }
    sendReleases();
  }

  /** Gives back what is idle, broken or never came up. */
  private void giveBack(int shard) {
    for (Worker worker : workers.inShard(shard)) {
      String why = worker.releasing() ? null : reason(worker, shard);
      if (why != null) {
        release(worker, why);
      }
    }
  }

  /** Why a machine is to be given back; null if it stays. */
  private String reason(Worker worker, int shard) {
    boolean busy = !worker.attempts().isEmpty();
    if (worker.terminating()) {
      return "marked for it";
    }
    if (worker.heartbeat() == null) {
      return reasonUnreported(worker, shard, busy);
    }
    if (silentForGood(worker)) {
      return "silent";
    }
    if (worker.consecutiveFailures() >= MAX_ERRORS && !busy) {
      return "fails tasks";
    }
    if (worker.confirmedUnreachable() && !busy) {
      return "does not hear";
    }
    return idleForGood(worker, busy) ? "idle" : null;
  }

  /** The same for a machine that has not reported since its shard is ours. */
  private String reasonUnreported(Worker worker, int shard, boolean busy) {
    MachineType type = types.apply(worker.type());
    long ready = type == null ? UNKNOWN_READY_MICROS : type.readyMicros();
    long age = Math.max(0, wallMicros - worker.launchedWallMicros());
    long here = nowMicros - membership.ownedSinceMicros(shard);
    long back = busy ? silentMicros() : backMicros();
    if (age <= 2 * ready + ready / 4 + READY_MARGIN_MICROS || here <= back) {
      return null;
    }
    return busy ? "silent" : "never came up";
  }

  /** How long a machine that has reported may be silent. */
  private long silentMicros() {
    return settings.workers().leaseMicros() * SILENT_LEASES;
  }

  private boolean silentForGood(Worker worker) {
    long quiet = nowMicros - worker.heartbeatMicros();
    return quiet > silentMicros()
        && (quiet > ZONE_PATIENCE * silentMicros() || !zoneSilent(worker));
  }

  /** Whether nothing has been on a machine for a while, and nothing is expected that needs it. */
  private boolean idleForGood(Worker worker, boolean busy) {
    if (busy || !worker.heartbeat().tasks().isEmpty()) {
      worker.markBusy();
      return false;
    }
    worker.markIdle(nowMicros);
    return nowMicros - worker.idleSinceMicros() > policy.micros(Policy.Name.IDLE_KEEP)
        && worker.surplus()
        && wallMicros - worker.launchedWallMicros() > MIN_CHARGED_MICROS;
  }

  /**
   * How long after a restart a machine may take to come back. It does so only once others have
   * ceased to answer it, a lease and some reports later: by a shorter time healthy ones were given
   * back with their tasks, and others rented in their place.
   */
  long backMicros() {
    long back = settings.workers().leaseMicros() + 4 * settings.workers().heartbeatMicros();
    return Math.max(back, MIN_BACK_MICROS);
  }

  /**
   * Whether most machines of a machine's zone are silent: then the zone is cut off rather than each
   * of them broken, and they will be of use when the cut ends.
   */
  private boolean zoneSilent(Worker worker) {
    int all = 0;
    int silent = 0;
    for (Worker other : workers.all()) {
      if (other.heartbeat() != null && other.zone().equals(worker.zone())) {
        all++;
        silent += nowMicros - other.heartbeatMicros() > SILENT_MICROS ? 1 : 0;
      }
    }
    return silent >= 2 && silent * 2 > all;
  }

  /** Marks a machine and has it deleted. */
  void release(Worker worker, String why) {
    worker.setReleasing(true);
    int shard = worker.shard();
    LOG.info("release {} of shard {}: {}", worker.host(), shard, why);
    if (worker.terminating()) {
      sendRelease(worker.host(), shard);
      return;
    }
    edit(
        worker.host(),
        shard,
        worker.record(),
        worker.record(shard, true),
        done -> {
          if (done) {
            sendRelease(worker.host(), shard);
          } else {
            worker.setReleasing(false);
          }
        });
  }

  private void sendRelease(String host, int shard) {
    toRelease.put(host, shard);
  }

  /** Releases what waits for it, many machines with one call. */
  private void sendReleases() {
    if (toRelease.isEmpty() || !tokens.tryAcquire(1, 0, nowMicros)) {
      return;
    }
    Map<String, Integer> shards = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> e : toRelease.entrySet()) {
      if (shards.size() < MAX_RELEASED) {
        shards.put(e.getKey(), e.getValue());
      }
    }
    toRelease.keySet().removeAll(shards.keySet());
    outbox.call(
        settings.cloudAddress(),
        "POST",
        "/rentals/release",
        Json.of("hosts", List.copyOf(shards.keySet())),
        CALL_MICROS,
        reply -> shards.forEach((host, shard) -> released(host, shard, reply.status() == 200)));
  }

  private void released(String host, int shard, boolean done) {
    Worker worker = workers.get(host);
    if (!done) {
      if (worker != null) {
        worker.setReleasing(false);
      }
      return;
    }
    scheduler.onWorkerReleased(host);
    if (worker != null && worker.registered()) {
      edit(host, shard, worker.record(), WorkerRecordCodec.RELEASED, ok -> {});
    }
  }

  private void edit(String host, int shard, String from, String to, MutationCallback then) {
    recordWriter.submit(
        new FieldMutation(
            shard, WorkerRecordCodec.key(host), WorkerRecordCodec.field(host), from, to, then));
  }
}
