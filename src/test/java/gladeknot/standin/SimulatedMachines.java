package gladeknot.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The machines of a simulation: boots those that the cloud rents out, and removes those that are
 * released.
 */
final class SimulatedMachines {
  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final FakeCloud cloud;
  private final TaskDurations durations;
  private final ObservedJobs jobs;
  private final TaskFailures failures = new TaskFailures();
  private final int controllers;
  private final Map<String, SimulatedMachine> machines = new TreeMap<>();
  private final List<FakeCloud.Machine> booting = new ArrayList<>();
  private long seenCloudChanges = -1;
  private int refusalsOfReleased;

  SimulatedMachines(
      SimulatedClock clock,
      SplittableRandom random,
      FakeCloud cloud,
      TaskDurations durations,
      ObservedJobs jobs,
      int controllers) {
    this.clock = clock;
    this.random = random;
    this.cloud = cloud;
    this.durations = durations;
    this.jobs = jobs;
    this.controllers = controllers;
  }

  /**
   * Returns all machines that have booted, by host; dead machines are included until they are
   * released.
   */
  Collection<SimulatedMachine> all() {
    return machines.values();
  }

  /** Returns all machines that are not dead, by host. */
  List<SimulatedMachine> alive() {
    return machines.values().stream().filter(machine -> !machine.isDead()).toList();
  }

  /** Returns one of the live machines; the index wraps around. */
  SimulatedMachine aliveAt(int nth) {
    List<SimulatedMachine> alive = alive();
    return alive.get(nth % alive.size());
  }

  Optional<SimulatedMachine> byHost(String host) {
    return Optional.ofNullable(machines.get(host));
  }

  /** Advances all machines to the present time, and sends the heartbeats that are due. */
  void advance(HeartbeatSender heartbeats) {
    updateRentals();
    bootRented();
    for (SimulatedMachine machine : machines.values()) {
      if (machine.isDead() || machine.isFrozen()) {
        continue;
      }
      machine.worker().advance(clock.now());
      if (machine.isHeartbeatDue(clock.now())) {
        heartbeats.send(machine);
      }
    }
  }

  private void updateRentals() {
    if (seenCloudChanges == cloud.changes()) {
      return;
    }
    seenCloudChanges = cloud.changes();
    booting.clear();
    Set<String> rented = new HashSet<>();
    for (FakeCloud.Machine machine : cloud.machines()) {
      rented.add(machine.id());
      if (!machines.containsKey(machine.id())) {
        booting.add(machine);
      }
    }
    for (SimulatedMachine machine : List.copyOf(machines.values())) {
      if (!rented.contains(machine.host())) {
        refusalsOfReleased += machine.worker().refusals();
        machines.remove(machine.host());
      }
    }
  }

  private void bootRented() {
    for (FakeCloud.Machine rented : List.copyOf(booting)) {
      if (rented.upMicros() <= clock.now()) {
        SimulatedMachine machine =
            new SimulatedMachine(newWorker(rented), random.nextInt(controllers));
        machines.put(rented.id(), machine);
        booting.remove(rented);
      }
    }
  }

  /** Returns the number of tasks that are on machines. */
  int liveTaskCount() {
    return machines.values().stream().mapToInt(machine -> machine.liveTasks().size()).sum();
  }

  /** Returns the machines that a job's tasks are on. */
  Set<String> hosts(String job) {
    Set<String> hosts = new TreeSet<>();
    for (SimulatedMachine machine : machines.values()) {
      if (tasksOf(job, machine) > 0) {
        hosts.add(machine.host());
      }
    }
    return hosts;
  }

  /** Returns the number of a job's tasks in each zone; zones without any are left out. */
  Map<String, Integer> zones(String job) {
    Map<String, Integer> zones = new TreeMap<>();
    for (SimulatedMachine machine : machines.values()) {
      int tasks = tasksOf(job, machine);
      if (tasks > 0) {
        zones.merge(machine.zone(), tasks, Integer::sum);
      }
    }
    return zones;
  }

  /**
   * Returns the number of a job's tasks on a machine. A dead machine counts with the tasks that it
   * had.
   */
  private static int tasksOf(String job, SimulatedMachine machine) {
    int count = 0;
    for (FakeWorker.Task task : machine.worker().live()) {
      count += task.name().startsWith(job + "/") ? 1 : 0;
    }
    return count;
  }

  /** Reboots a machine: it loses everything on it and is back at once, with its counters reset. */
  void reboot(SimulatedMachine machine) {
    FakeCloud.Machine rented =
        cloud.machines().stream()
            .filter(candidate -> candidate.id().equals(machine.host()))
            .findFirst()
            .orElseThrow();
    machine.reboot(newWorker(rented));
  }

  /** Returns what a task needs; nothing if no user has submitted it. */
  private ResourceUse useOf(String task) {
    return jobs.ofTask(task).map(ObservedJob::taskUse).orElse(ResourceUse.NONE);
  }

  /** Returns the number of starts that machines have refused for lack of room. */
  int refusals() {
    return refusalsOfReleased
        + machines.values().stream().mapToInt(machine -> machine.worker().refusals()).sum();
  }

  private FakeWorker newWorker(FakeCloud.Machine rented) {
    FakeWorker worker =
        new FakeWorker(
            rented,
            rented.id() + ":9",
            ClusterSettings.LEASE_MICROS,
            durations::of,
            cloud.capacity(rented.type()),
            this::useOf,
            clock.now());
    worker.useFailures(failures);
    return worker;
  }

  /** Returns which tasks fail. */
  TaskFailures failures() {
    return failures;
  }
}
