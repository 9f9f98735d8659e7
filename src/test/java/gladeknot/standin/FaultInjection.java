package gladeknot.standin;

import gladeknot.standin.LinkFaults.Direction;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The faults of a simulation's network and state service: connections that are lost, answers that
 * are lost or late, transactions that are carried out late. At first there are none.
 */
public final class FaultInjection {
  private static final String SHARD_WRITE = "\"write\":\"g/shard/";

  private final FakeStateStore state;
  private final LinkFaults links = new LinkFaults();
  private final Set<Integer> withoutState = new HashSet<>();
  private final Set<Integer> withoutWorkers = new HashSet<>();
  private final Set<Integer> withoutPeers = new HashSet<>();
  private final Set<Integer> rejectedByState = new HashSet<>();
  private final Set<Integer> stalledWatches = new HashSet<>();

  /** The controllers that the machines of a partitioned zone reach. */
  private final Map<String, Set<Integer>> partitions = new HashMap<>();

  private Optional<IsolatedZone> isolatedZone = Optional.empty();
  private Optional<HeldCommit> heldCommit = Optional.empty();
  private boolean stateOutage;
  private boolean duplicateHeartbeats;
  private int commitResponsesToLose;
  private long lostCommitDelay;
  private double lateCommitShare;
  private long commandDelay;
  private long peerDelay;
  private long stateDelay;
  private final Map<Integer, Long> commitAnswerDelays = new HashMap<>();

  private record IsolatedZone(String zone, int node) {}

  private record HeldCommit(String key, long delayMicros) {}

  FaultInjection(FakeStateStore state) {
    this.state = state;
  }

  /** Returns the faults of single links: dropped directions and refused connections. */
  public LinkFaults links() {
    return links;
  }

  /** Disconnects a controller from the state service, or reconnects it. */
  public void disconnectFromState(int node, boolean cut) {
    set(withoutState, node, cut);
  }

  /** Disconnects a controller from all workers, or reconnects it. */
  public void disconnectFromWorkers(int node, boolean cut) {
    set(withoutWorkers, node, cut);
  }

  /** Disconnects a controller from all others, or reconnects it. */
  public void disconnectFromPeers(int node, boolean cut) {
    set(withoutPeers, node, cut);
  }

  /** Begins or ends an outage of the state service; all leases are renewed at its end. */
  public void stateOutage(boolean on) {
    stateOutage = on;
    if (!on) {
      state.renewAll();
    }
  }

  /** The state service answers only this controller with 503; its watches hang, its leases last. */
  public void rejectStateCalls(int node, boolean on) {
    set(rejectedByState, node, on);
  }

  /** A controller's watches report no change, all else is served. */
  public void stallWatch(int node, boolean on) {
    set(stalledWatches, node, on);
  }

  /** Isolates a zone together with one controller. */
  public void isolateZone(String zone, int node) {
    isolatedZone = Optional.of(new IsolatedZone(zone, node));
    disconnectFromState(node, true);
    disconnectFromPeers(node, true);
  }

  /** Ends the isolation of a zone. */
  public void rejoinZone() {
    int node = isolatedZone.orElseThrow().node();
    disconnectFromState(node, false);
    disconnectFromPeers(node, false);
    isolatedZone = Optional.empty();
  }

  /** The machines of a zone reach these controllers, and no others. */
  public void partitionZone(String zone, Set<Integer> controllers) {
    partitions.put(zone, controllers);
  }

  /** Ends all partitions of zones. */
  public void healPartitions() {
    partitions.clear();
  }

  /** The next transaction that changes such a key gets no answer and is carried out later. */
  public void holdNextCommit(String key, long delayMicros) {
    heldCommit = Optional.of(new HeldCommit(key, delayMicros));
  }

  /** How many of the next transactions get no answer, though they are carried out. */
  public void loseCommitResponses(int count) {
    commitResponsesToLose = count;
  }

  /** One more of the next transactions gets no answer. */
  public void loseOneMoreCommitResponse() {
    commitResponsesToLose++;
  }

  /** How much later transactions of {@link #loseCommitResponses} are carried out. */
  public void delayLostCommits(long micros) {
    lostCommitDelay = micros;
  }

  /** The share of transactions that get no answer and are carried out 2 to 12 s later. */
  public void lateCommitShare(double share) {
    lateCommitShare = share;
  }

  /** What heartbeat responses and direct commands take longer. */
  public void delayCommands(long micros) {
    commandDelay = micros;
  }

  /** What messages between controllers take longer; they may overtake one another. */
  public void delayPeerMessages(long micros) {
    peerDelay = micros;
  }

  /** What each call to the state service takes longer. */
  public void delayStateCalls(long micros) {
    stateDelay = micros;
  }

  /**
   * How much later answers to a controller's transactions come, though these are carried out in
   * time; those that give a shard a new owner are answered as ever.
   */
  public void delayCommitAnswers(int node, long micros) {
    commitAnswerDelays.put(node, micros);
  }

  /** Whether copies of heartbeats arrive late, at any controller. */
  public void duplicateHeartbeats(boolean on) {
    duplicateHeartbeats = on;
  }

  private static void set(Set<Integer> nodes, int node, boolean on) {
    if (on) {
      nodes.add(node);
    } else {
      nodes.remove(node);
    }
  }

  /** Whether requests of a controller to the state service are lost. */
  boolean losesStateRequests(int node) {
    return withoutState.contains(node) || links.drops(node, Direction.STATE_REQUESTS);
  }

  boolean rejectsStateCalls(int node) {
    return rejectedByState.contains(node);
  }

  /** Whether a watch of a controller can be answered. */
  boolean servesWatch(int node) {
    return !stateOutage
        && !withoutState.contains(node)
        && !rejectedByState.contains(node)
        && !stalledWatches.contains(node)
        && !links.drops(node, Direction.STATE_ANSWERS);
  }

  boolean hasStateOutage() {
    return stateOutage;
  }

  /** Whether a controller and the machines of a zone reach one another. */
  boolean connectsWorkers(int node, String zone) {
    Set<Integer> controllers = partitions.get(zone);
    if (withoutWorkers.contains(node) || (controllers != null && !controllers.contains(node))) {
      return false;
    }
    return isolatedZone.isEmpty()
        || isolatedZone.get().zone().equals(zone) == (node == isolatedZone.get().node());
  }

  /** Whether messages of a controller reach another one. */
  boolean connectsPeers(int from, int to) {
    return !withoutPeers.contains(from) && !withoutPeers.contains(to) && !links.dropsPeer(from, to);
  }

  /** Whether the next transaction is to lose its answer; counts it. */
  boolean takeLostCommitResponse() {
    if (commitResponsesToLose <= 0) {
      return false;
    }
    commitResponsesToLose--;
    return true;
  }

  /** The delay of a transaction that is to be held; it is held once. */
  Optional<Long> takeHeldCommit(byte[] transaction) {
    Optional<Long> delay =
        heldCommit
            .filter(held -> new String(transaction, StandardCharsets.UTF_8).contains(held.key()))
            .map(HeldCommit::delayMicros);
    if (delay.isPresent()) {
      heldCommit = Optional.empty();
    }
    return delay;
  }

  long lostCommitDelay() {
    return lostCommitDelay;
  }

  double lateCommitShare() {
    return lateCommitShare;
  }

  long commandDelay() {
    return commandDelay;
  }

  long peerDelay() {
    return peerDelay;
  }

  long stateDelay() {
    return stateDelay;
  }

  /** How much later the answer to a transaction comes. */
  long commitAnswerDelay(int node, byte[] transaction) {
    String text = new String(transaction, StandardCharsets.UTF_8);
    return text.contains(SHARD_WRITE) ? 0 : commitAnswerDelays.getOrDefault(node, 0L);
  }

  boolean duplicatesHeartbeats() {
    return duplicateHeartbeats;
  }
}
