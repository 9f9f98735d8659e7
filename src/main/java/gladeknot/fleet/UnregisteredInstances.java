package gladeknot.fleet;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds running instances that are not registered, by their heartbeats and by the cloud's list, and
 * registers them, so that every instance is either used or released. Also releases workers whose
 * instances the list shows as failed.
 */
final class UnregisteredInstances {
  private static final Logger LOG = LoggerFactory.getLogger(UnregisteredInstances.class);
  private static final long LIST_INTERVAL_MICROS = 20_000_000;

  /**
   * Number of list intervals after which the time when an instance was first listed is dropped. If
   * the instance still runs, it then counts as new.
   */
  private static final int RETAINED_INTERVALS = 6;

  /**
   * Multiple of the list's lag for which an instance has to stay unregistered before it is
   * registered.
   */
  private static final int LAG_FACTOR = 4;

  private final Settings settings;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final CloudClient cloud;
  private final FleetClock clock;
  private final WorkerRegistration registration;
  private final ScaleIn scaleIn;

  /** Times at which the list first showed each unregistered instance, by the steady clock. */
  private final Map<String, Long> firstListedMicrosByHost = new HashMap<>();

  private boolean listing;
  private long nextListMicros;

  UnregisteredInstances(
      Settings settings,
      Membership membership,
      WorkerRegistry workers,
      CloudClient cloud,
      FleetClock clock,
      WorkerRegistration registration,
      ScaleIn scaleIn) {
    this.settings = settings;
    this.membership = membership;
    this.workers = workers;
    this.cloud = cloud;
    this.clock = clock;
    this.registration = registration;
    this.scaleIn = scaleIn;
  }

  /** Registers a machine that sends heartbeats but is not registered. */
  void onHeartbeat(Heartbeat heartbeat) {
    String host = heartbeat.host();
    int shard = membership.homeShard();
    if (membership.permits(ControlAction.SCALE_OUT, shard) && !workers.wasReleased(host)) {
      LOG.info("unregistered instance registered host={} shard={} seen=heartbeat", host, shard);
      registration.registerUnknown(
          host, shard, heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    }
  }

  /** Starts to read the cloud's list when its interval has passed. */
  void step() {
    if (!listing && clock.nowMicros() >= nextListMicros && membership.mayAct()) {
      nextListMicros = clock.nowMicros() + LIST_INTERVAL_MICROS;
      listAfter("");
    }
  }

  private void listAfter(String host) {
    listing = cloud.listInstances(host, page -> onPage(host, page));
  }

  private void onPage(String afterHost, Optional<CloudCodec.InstancePage> page) {
    listing = false;
    if (page.isEmpty()) {
      return;
    }
    String lastHost = afterHost;
    for (CloudCodec.ListedInstance instance : page.get().instances()) {
      lastHost = instance.host();
      onListed(instance);
    }
    if (page.get().more()) {
      listAfter(lastHost);
    } else {
      long nowMicros = clock.nowMicros();
      firstListedMicrosByHost
          .values()
          .removeIf(
              firstListedMicros ->
                  nowMicros - firstListedMicros > RETAINED_INTERVALS * LIST_INTERVAL_MICROS);
    }
  }

  private void onListed(CloudCodec.ListedInstance instance) {
    Worker worker = workers.get(instance.host());
    if (worker != null && worker.registered()) {
      onListedWorker(worker, instance);
    } else if (!workers.wasReleased(instance.host())) {
      onListedUnregistered(instance);
    }
  }

  private void onListedWorker(Worker worker, CloudCodec.ListedInstance instance) {
    firstListedMicrosByHost.remove(worker.host());
    worker.setListedEndpoint(instance.endpoint());
    if (instance.failed()
        && !worker.releasing()
        && membership.permits(ControlAction.SCALE_IN, worker.shard())) {
      scaleIn.release(worker, ScaleIn.Reason.FAILED);
    }
  }

  private void onListedUnregistered(CloudCodec.ListedInstance instance) {
    String host = instance.host();
    long nowMicros = clock.nowMicros();
    // The list lags: for a while, an instance that was just started or just released can't be told
    // from an unregistered one.
    long firstListedMicros = firstListedMicrosByHost.computeIfAbsent(host, newHost -> nowMicros);
    long minUnregisteredMicros =
        LAG_FACTOR * settings.cloudLimits().listLagMicros() + LIST_INTERVAL_MICROS;
    // The hash of the host selects a shard, so that only that shard's owner registers it.
    int shard = Math.floorMod(host.hashCode(), membership.shardCount());
    if (nowMicros - firstListedMicros > minUnregisteredMicros
        && membership.permits(ControlAction.SCALE_OUT, shard)) {
      LOG.info("unregistered instance registered host={} shard={} seen=list", host, shard);
      registration.registerUnknown(host, shard, instance.type(), instance.zone(), instance.spot());
    }
  }
}
