package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Injects faults into a simulated cluster, drawn from a seed. Several faults may be active at the
 * same time. Each ends after a drawn duration, and none is active after {@link #endAll}.
 */
public final class RandomFaults {
  private static final int MAX_ACTIVE = 3;
  private static final int FAULT_KINDS = 14;
  private static final List<String> ZONES = List.of("a", "b");

  private record ActiveFault(long untilMicros, Runnable end) {}

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final int controllers;
  private final List<ActiveFault> active = new ArrayList<>();
  private final List<String> schedule = new ArrayList<>();
  private final Set<Integer> down = new TreeSet<>();

  /** Creates a source of faults for a cluster with the given number of controllers. */
  public RandomFaults(SimulatedCluster cluster, int controllers, long seed) {
    this.cluster = cluster;
    this.controllers = controllers;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the faults drawn so far, for the message of a failed test. */
  public List<String> schedule() {
    return schedule;
  }

  /** Ends the faults whose duration is over, and may begin another fault. */
  public void step() {
    endWhere(fault -> fault.untilMicros() <= cluster.now());
    if (active.size() < MAX_ACTIVE && random.nextInt(3) > 0) {
      begin();
    }
  }

  /** Ends all faults. */
  public void endAll() {
    endWhere(fault -> true);
    cluster.faults().lateCommitShare(0);
    cluster.faults().loseCommitAnswers(0);
  }

  private void endWhere(Predicate<ActiveFault> isOver) {
    for (ActiveFault fault : List.copyOf(active)) {
      if (isOver.test(fault)) {
        active.remove(fault);
        fault.end().run();
      }
    }
  }

  private void addActive(String name, long micros, Runnable end) {
    schedule.add(
        cluster.now() / MICROS_PER_SECOND + " s: " + name + " for " + micros / 1000 + " ms");
    active.add(new ActiveFault(cluster.now() + micros, end));
  }

  private long randomMicros(long fromMillis, long toMillis) {
    return random.nextLong(fromMillis * 1000, toMillis * 1000);
  }

  private void begin() {
    int node = random.nextInt(controllers);
    switch (random.nextInt(FAULT_KINDS)) {
      case 0, 1 -> killAndRestart(node, randomMicros(150, 900));
      case 2 -> killAndRestart(node, randomMicros(2_000, 25_000));
      case 3 -> pause(node, randomMicros(500, 20_000));
      case 4 -> disconnectState(node, randomMicros(1_000, 20_000));
      case 5 -> stallWatch(node, randomMicros(1_000, 9_000));
      case 6 -> rejectStateCalls(node, randomMicros(1_000, 15_000));
      case 7 -> stateOutage(randomMicros(1_000, 12_000));
      case 8 ->
          partition(random.nextBoolean() ? Set.of() : Set.of(node), randomMicros(2_000, 16_000));
      case 9 -> loseCommitAnswers(randomMicros(500, 3_000));
      case 10 -> commitLate(randomMicros(2_000, 8_000));
      case 11 -> freezeMachine(randomMicros(1_000, 14_000));
      case 12 -> duplicateHeartbeats(randomMicros(5_000, 20_000));
      default -> dropResponsesOfMachine(randomMicros(2_000, 20_000));
    }
  }

  private void pause(int node, long micros) {
    cluster.pause(node, true);
    addActive("pause " + node, micros, () -> cluster.pause(node, false));
  }

  private void disconnectState(int node, long micros) {
    cluster.faults().disconnectFromState(node, true);
    addActive("no state " + node, micros, () -> cluster.faults().disconnectFromState(node, false));
  }

  private void stallWatch(int node, long micros) {
    cluster.faults().stallWatch(node, true);
    addActive("stalled watch " + node, micros, () -> cluster.faults().stallWatch(node, false));
  }

  private void rejectStateCalls(int node, long micros) {
    cluster.faults().rejectStateCalls(node, true);
    addActive("503 for " + node, micros, () -> cluster.faults().rejectStateCalls(node, false));
  }

  private void stateOutage(long micros) {
    cluster.faults().stateOutage(true);
    addActive("outage", micros, () -> cluster.faults().stateOutage(false));
  }

  private void partition(Set<Integer> reachable, long micros) {
    String zone = ZONES.get(random.nextInt(ZONES.size()));
    cluster.faults().partitionZone(zone, reachable);
    addActive(
        "zone " + zone + " reaches " + reachable, micros, () -> cluster.faults().healPartitions());
  }

  private void loseCommitAnswers(long micros) {
    cluster.faults().loseCommitAnswers(1 + random.nextInt(3));
    cluster.faults().delayLostCommits(randomMicros(0, 6_000));
    addActive("lost answers", micros, () -> cluster.faults().loseCommitAnswers(0));
  }

  private void commitLate(long micros) {
    cluster.faults().lateCommitShare(0.3);
    addActive("late commits", micros, () -> cluster.faults().lateCommitShare(0));
  }

  private void duplicateHeartbeats(long micros) {
    cluster.faults().duplicateHeartbeats(true);
    addActive("duplicate heartbeats", micros, () -> cluster.faults().duplicateHeartbeats(false));
  }

  private void killAndRestart(int node, long micros) {
    if (down.add(node)) {
      cluster.kill(node);
      addActive("kill " + node, micros, () -> restart(node));
    }
  }

  private void restart(int node) {
    down.remove(node);
    cluster.start(node);
  }

  private void freezeMachine(long micros) {
    if (cluster.machineCount() > 0) {
      Runnable resume = cluster.machineFaults().freezeOne(random.nextInt(cluster.machineCount()));
      addActive("freeze a machine", micros, resume);
    }
  }

  private void dropResponsesOfMachine(long micros) {
    if (cluster.machineCount() > 0) {
      Runnable end =
          cluster.machineFaults().dropResponsesOfOne(random.nextInt(cluster.machineCount()));
      addActive("a machine receives nothing", micros, end);
    }
  }
}
