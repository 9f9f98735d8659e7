package gladeknot.standin;

import gladeknot.standin.DirectionalProxy.Direction;
import gladeknot.standin.DirectionalProxy.Mode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Injects faults into a cluster of real processes, drawn from a seed. Processes are killed,
 * suspended and started again. Links lose, delay or refuse traffic in one direction. The state
 * service refuses calls, loses answers or carries out transactions late. Machines freeze, are cut
 * off or receive nothing. Messages are duplicated and arrive late. Several faults may be active at
 * the same time; each ends after a drawn duration.
 */
final class LoopbackFaults {
  private static final int MAX_ACTIVE = 3;
  private static final long DELAY_MILLIS = 400;
  private static final long MIN_LAG_MILLIS = 100;
  private static final long MAX_LAG_MILLIS = 3_000;

  /**
   * Average number of steps for which one controller's watch stays current before another is
   * chosen.
   */
  private static final int MEAN_STEPS_PER_WATCH_CHANGE = 3;

  /** Action that ends a fault and may fail. */
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record ActiveFault(long untilMicros, Action end) {}

  private final LoopbackCluster cluster;
  private final int controllers;
  private final SplittableRandom random;
  private final List<ActiveFault> active = new ArrayList<>();
  private final Set<Integer> busyNodes = new TreeSet<>();
  private final List<String> log = new ArrayList<>();
  private final long startMicros = LoopbackServices.now();

  LoopbackFaults(LoopbackCluster cluster, int controllers, long seed) {
    this.cluster = cluster;
    this.controllers = controllers;
    this.random = new SplittableRandom(seed);
  }

  /** Returns a line for each fault that was drawn. */
  List<String> log() {
    return log;
  }

  /** Ends the faults whose duration is over, and may begin another fault. */
  void step() throws IOException, InterruptedException {
    for (ActiveFault fault : List.copyOf(active)) {
      if (LoopbackServices.now() >= fault.untilMicros()) {
        active.remove(fault);
        fault.end().run();
      }
    }
    if (active.size() < MAX_ACTIVE && random.nextInt(4) > 0) {
      begin();
    }
  }

  /**
   * Delays the answers to the watches of all controllers but one, in addition to all other faults.
   */
  void delayWatches() {
    if (random.nextInt(MEAN_STEPS_PER_WATCH_CHANGE) > 0) {
      return;
    }
    StateServiceFaults faults = cluster.services().stateFaults();
    int currentNode = random.nextInt(controllers);
    long lagMillis = random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS);
    for (int node = 0; node < controllers; node++) {
      faults.delayWatch(node, node == currentNode ? 0 : lagMillis);
    }
    log.add(elapsed() + " s: watches but node-" + currentNode + "'s lag by " + lagMillis + " ms");
  }

  /** Ends all faults. */
  void endAll() throws IOException, InterruptedException {
    while (!active.isEmpty()) {
      // Ending a fault may begin another one.
      active.remove(0).end().run();
    }
    cluster.services().stateFaults().clear();
    log.add(elapsed() + " s: all faults have ended");
  }

  private String elapsed() {
    return String.format("%.1f", (LoopbackServices.now() - startMicros) / 1e6);
  }

  private void addActive(String name, long millis, Action end) {
    log.add(elapsed() + " s: " + name + " for " + millis + " ms");
    active.add(new ActiveFault(LoopbackServices.now() + millis * 1000, end));
  }

  private void begin() throws IOException, InterruptedException {
    int node = random.nextInt(controllers);
    switch (random.nextInt(20)) {
      case 0, 1 -> kill(node, random.nextLong(50, 900));
      case 2 -> kill(node, random.nextLong(2_000, 9_000));
      case 3 -> killAll(random.nextLong(100, 7_000));
      case 4 -> suspend(node, random.nextLong(300, 9_000));
      case 5 -> drop(LoopbackCluster.stateLink(node), random.nextLong(500, 9_000));
      case 6 -> drop(LoopbackCluster.workerLink(node), random.nextLong(500, 8_000));
      case 7 -> dropPeers(node, random.nextLong(500, 9_000));
      case 8 -> delay(LoopbackCluster.stateLink(node), random.nextLong(1_000, 6_000));
      case 9 -> refuseNode(node, random.nextLong(500, 9_000));
      case 10 -> outage(random.nextLong(500, 8_000));
      case 11 -> loseCommitAnswers(random.nextLong(500, 4_000));
      case 12 -> commitLate(random.nextLong(500, 4_000));
      case 13 ->
          affectMachines("frozen", 4, random.nextLong(500, 8_000), LoopbackWorker::freezeFor);
      case 14 -> cutZone(random.nextLong(1_000, 9_000));
      case 15, 16 -> delayWatch(node, random.nextLong(2_000, 9_000));
      case 17 -> slowState(random.nextLong(1_000, 8_000));
      case 18 -> killInTurn(random.nextLong(150, 900));
      default -> lateMessages(random.nextLong(2_000, 8_000));
    }
  }

  private void kill(int node, long millis) throws IOException, InterruptedException {
    if (busyNodes.add(node)) {
      cluster.kill(node);
      addActive("kill node-" + node, millis, () -> start(node));
    }
  }

  private void killAll(long millis) throws IOException, InterruptedException {
    for (int node = 0; node < controllers; node++) {
      kill(node, millis + random.nextLong(400));
    }
  }

  /** Kills the controllers one after the other, each when the previous one has restarted. */
  private void killInTurn(long millis) throws IOException, InterruptedException {
    int first = random.nextInt(controllers);
    killNext(first, controllers, millis);
  }

  private void killNext(int node, int remaining, long millis)
      throws IOException, InterruptedException {
    if (remaining == 0 || !busyNodes.add(node)) {
      return;
    }
    cluster.kill(node);
    addActive(
        "kill node-" + node + " in turn",
        millis,
        () -> {
          start(node);
          killNext((node + 1) % controllers, remaining - 1, millis);
        });
  }

  private void start(int node) throws IOException {
    cluster.start(node);
    busyNodes.remove(node);
  }

  private void suspend(int node, long millis) throws IOException, InterruptedException {
    if (busyNodes.add(node)) {
      cluster.suspend(node, true);
      addActive(
          "suspend node-" + node,
          millis,
          () -> {
            cluster.suspend(node, false);
            busyNodes.remove(node);
          });
    }
  }

  private void drop(String link, long millis) {
    List<Direction> directions =
        switch (random.nextInt(3)) {
          case 0 -> List.of(Direction.REQUESTS);
          case 1 -> List.of(Direction.ANSWERS);
          default -> List.of(Direction.REQUESTS, Direction.ANSWERS);
        };
    directions.forEach(direction -> cluster.setMode(link, direction, Mode.DROP));
    addActive("drop " + link + " " + directions, millis, () -> restoreLink(link));
  }

  private void restoreLink(String link) {
    for (Direction direction : Direction.values()) {
      cluster.setMode(link, direction, Mode.PASS);
    }
  }

  private void dropPeers(int node, long millis) {
    for (int other = 0; other < controllers; other++) {
      if (other != node) {
        drop(LoopbackCluster.peerLink(node, other), millis);
      }
    }
  }

  private void delay(String link, long millis) {
    cluster.delay(link, Direction.ANSWERS, DELAY_MILLIS);
    addActive("delay " + link, millis, () -> restoreLink(link));
  }

  private void refuseNode(int node, long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    faults.refuse(node, true);
    addActive("state refuses node-" + node, millis, () -> faults.refuse(node, false));
  }

  private void outage(long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    faults.outage(true);
    addActive("state outage", millis, () -> faults.outage(false));
  }

  private void delayWatch(int node, long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    long delayMillis = random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS);
    faults.delayWatch(node, delayMillis);
    addActive(
        "watch of node-" + node + " delayed by " + delayMillis + " ms",
        millis,
        () -> faults.delayWatch(node, 0));
  }

  private void slowState(long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    faults.slow(true);
    addActive("slow state service with 429", millis, () -> faults.slow(false));
  }

  private void loseCommitAnswers(long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    faults.unansweredShare(0.3);
    addActive("lost answers of transactions", millis, () -> faults.unansweredShare(0));
  }

  private void commitLate(long millis) {
    StateServiceFaults faults = cluster.services().stateFaults();
    faults.lateShare(0.3);
    addActive("late transactions", millis, () -> faults.lateShare(0));
  }

  private interface MachineFault {
    void begin(LoopbackWorker worker, long micros);
  }

  /** Begins a fault on about one in {@code oneIn} machines; the fault ends by itself. */
  private void affectMachines(String name, int oneIn, long millis, MachineFault fault) {
    int affected = 0;
    for (LoopbackWorker worker : cluster.services().workers()) {
      if (random.nextInt(oneIn) == 0) {
        fault.begin(worker, millis * 1000);
        affected++;
      }
    }
    addActive(affected + " machines " + name, millis, () -> {});
  }

  private void cutZone(long millis) {
    String zone = random.nextBoolean() ? "a" : "b";
    MachineFault fault =
        random.nextBoolean() ? LoopbackWorker::cutFor : LoopbackWorker::loseResponsesFor;
    for (LoopbackWorker worker : cluster.services().workers()) {
      if (worker.zone().equals(zone)) {
        fault.begin(worker, millis * 1000);
      }
    }
    addActive("zone " + zone + " cut", millis, () -> {});
  }

  private void lateMessages(long millis) {
    Consumer<LoopbackWorker> disturb =
        worker -> {
          worker.repeatHeartbeatsFor(millis * 1000);
          worker.delayCommandsFor(millis * 1000);
        };
    cluster.services().workers().forEach(disturb);
    addActive("late duplicates of heartbeats, late commands", millis, () -> {});
  }
}
