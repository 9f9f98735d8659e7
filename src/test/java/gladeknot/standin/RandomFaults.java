package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Draws faults of a simulated cluster from a seed. Several last at the same time; each ends by
 * itself, and all have ended after {@link #endAll}.
 */
public final class RandomFaults {
  private static final int MAX_ACTIVE = 3;
  private static final int KINDS = 14;
  private static final List<String> ZONES = List.of("a", "b");

  private record Active(long untilMicros, Runnable end) {}

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final int controllers;
  private final List<Active> active = new ArrayList<>();
  private final List<String> schedule = new ArrayList<>();
  private final Set<Integer> down = new TreeSet<>();

  /** Faults for a cluster of so many controllers. */
  public RandomFaults(SimulatedCluster cluster, int controllers, long seed) {
    this.cluster = cluster;
    this.controllers = controllers;
    this.random = new SplittableRandom(seed);
  }

  /** What was drawn so far, for the message of a failure. */
  public List<String> schedule() {
    return schedule;
  }

  /** Ends the faults that are over, and perhaps begins another. */
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
    cluster.faults().loseCommitResponses(0);
  }

  private void endWhere(Predicate<Active> over) {
    for (Active fault : List.copyOf(active)) {
      if (over.test(fault)) {
        active.remove(fault);
        fault.end().run();
      }
    }
  }

  private void last(String name, long micros, Runnable end) {
    schedule.add(cluster.now() / SECOND + " s: " + name + " for " + micros / 1000 + " ms");
    active.add(new Active(cluster.now() + micros, end));
  }

  private long between(long fromMillis, long toMillis) {
    return random.nextLong(fromMillis * 1000, toMillis * 1000);
  }

  private void begin() {
    int node = random.nextInt(controllers);
    switch (random.nextInt(KINDS)) {
      case 0, 1 -> killOne(node, between(150, 900));
      case 2 -> killOne(node, between(2_000, 25_000));
      case 3 -> pauseOne(node, between(500, 20_000));
      case 4 -> disconnectState(node, between(1_000, 20_000));
      case 5 -> stallWatch(node, between(1_000, 9_000));
      case 6 -> rejectStateCalls(node, between(1_000, 15_000));
      case 7 -> stateOutage(between(1_000, 12_000));
      case 8 -> partition(random.nextBoolean() ? Set.of() : Set.of(node), between(2_000, 16_000));
      case 9 -> loseCommitResponses(between(500, 3_000));
      case 10 -> commitLate(between(2_000, 8_000));
      case 11 -> freezeOne(between(1_000, 14_000));
      case 12 -> duplicateHeartbeats(between(5_000, 20_000));
      default -> dropResponsesOfOne(between(2_000, 20_000));
    }
  }

  private void pauseOne(int node, long micros) {
    cluster.pause(node, true);
    last("pause " + node, micros, () -> cluster.pause(node, false));
  }

  private void disconnectState(int node, long micros) {
    cluster.faults().disconnectFromState(node, true);
    last("no state " + node, micros, () -> cluster.faults().disconnectFromState(node, false));
  }

  private void stallWatch(int node, long micros) {
    cluster.faults().stallWatch(node, true);
    last("stalled watch " + node, micros, () -> cluster.faults().stallWatch(node, false));
  }

  private void rejectStateCalls(int node, long micros) {
    cluster.faults().rejectStateCalls(node, true);
    last("503 for " + node, micros, () -> cluster.faults().rejectStateCalls(node, false));
  }

  private void stateOutage(long micros) {
    cluster.faults().stateOutage(true);
    last("outage", micros, () -> cluster.faults().stateOutage(false));
  }

  private void partition(Set<Integer> reachable, long micros) {
    String zone = ZONES.get(random.nextInt(ZONES.size()));
    cluster.faults().partitionZone(zone, reachable);
    last("zone " + zone + " reaches " + reachable, micros, () -> cluster.faults().healPartitions());
  }

  private void loseCommitResponses(long micros) {
    cluster.faults().loseCommitResponses(1 + random.nextInt(3));
    cluster.faults().delayLostCommits(between(0, 6_000));
    last("lost answers", micros, () -> cluster.faults().loseCommitResponses(0));
  }

  private void commitLate(long micros) {
    cluster.faults().lateCommitShare(0.3);
    last("late commits", micros, () -> cluster.faults().lateCommitShare(0));
  }

  private void duplicateHeartbeats(long micros) {
    cluster.faults().duplicateHeartbeats(true);
    last("copies", micros, () -> cluster.faults().duplicateHeartbeats(false));
  }

  private void killOne(int node, long micros) {
    if (down.add(node)) {
      cluster.kill(node);
      last("kill " + node, micros, () -> startAgain(node));
    }
  }

  private void startAgain(int node) {
    down.remove(node);
    cluster.start(node);
  }

  private void freezeOne(long micros) {
    if (cluster.machineCount() > 0) {
      Runnable resume = cluster.machineFaults().freezeOne(random.nextInt(cluster.machineCount()));
      last("freeze a machine", micros, resume);
    }
  }

  private void dropResponsesOfOne(long micros) {
    if (cluster.machineCount() > 0) {
      Runnable end =
          cluster.machineFaults().loseResponsesOfOne(random.nextInt(cluster.machineCount()));
      last("a machine receives nothing", micros, end);
    }
  }
}
