package gladeknot.fleet;

import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Registers machines as workers and decides to which shard each machine belongs. */
final class WorkerRegistration {
  private final Membership membership;
  private final WorkerRegistry workers;
  private final WorkerRecords records;
  private final TaskLifecycle lifecycle;
  private final InstanceCatalog catalog;
  private final FleetClock clock;

  /** Hosts whose records are being written. */
  private final Set<String> registering = new HashSet<>();

  WorkerRegistration(
      Membership membership,
      WorkerRegistry workers,
      WorkerRecords records,
      TaskLifecycle lifecycle,
      InstanceCatalog catalog,
      FleetClock clock) {
    this.membership = membership;
    this.workers = workers;
    this.records = records;
    this.lifecycle = lifecycle;
    this.catalog = catalog;
    this.clock = clock;
  }

  /**
   * Registers the instances that a scale-out request started. Machines with GPUs go to the shard
   * that requested them, other machines to the shards that have the fewest CPUs.
   */
  void registerInstances(ScaleOutRequest request, List<String> hosts) {
    InstanceOffering offering = request.offering();
    MachineType type = offering.type();
    long[] cpusByShard = cpusByShard();
    for (String host : hosts) {
      int shard = type.gpus() > 0 ? request.shard() : shardWithFewestCpus(cpusByShard);
      cpusByShard[shard] += type.cpus();
      register(
          host,
          request.shard(),
          new WorkerRecord(
              shard, type.name(), offering.zone(), offering.spot(), clock.wallMicros(), false));
    }
  }

  /** Registers a machine that no scale-out request accounts for, in an owned shard. */
  void registerUnknown(String host, int shard, String type, String zone, boolean spot) {
    register(host, shard, new WorkerRecord(shard, type, zone, spot, clock.wallMicros(), false));
  }

  private void register(String host, int ownedShard, WorkerRecord record) {
    if (!registering.add(host)) {
      return;
    }
    records.create(
        host,
        ownedShard,
        record,
        committed -> {
          registering.remove(host);
          lifecycle.requestScheduling();
        });
  }

  /** Returns the CPUs, in billionths, of each shard's registered machines without GPUs. */
  private long[] cpusByShard() {
    long[] cpus = new long[membership.shardCount()];
    for (Worker worker : workers.all()) {
      MachineType type = catalog.type(worker.type());
      if (worker.registered() && !worker.terminating() && type != null && type.gpus() == 0) {
        cpus[worker.shard()] += type.cpus();
      }
    }
    return cpus;
  }

  /**
   * Returns the shard with the fewest CPUs among the home shard and the shards with a live owner.
   * Tasks are split evenly over the shards, so machines are too, whichever shard requested them. An
   * imbalance would have to be evened out by claims, task by task.
   */
  private int shardWithFewestCpus(long[] cpusByShard) {
    int fewest = membership.homeShard();
    for (int shard = 0; shard < cpusByShard.length; shard++) {
      if (membership.liveOwner(shard).isPresent() && cpusByShard[shard] < cpusByShard[fewest]) {
        fewest = shard;
      }
    }
    return fewest;
  }
}
