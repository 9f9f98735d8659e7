package gladeknot.standin;

import gladeknot.standin.LinkFaults.Direction;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Faults of a simulation's network and state service: lost connections, lost or late answers, and
 * transactions that are carried out late. Initially there are no faults.
 */
public final class FaultInjection {
  private static final String SHARD_RECORD_WRITE = "\"write\":\"g/shard/";

  private final FakeStateStore state;
  private final LinkFaults links = new LinkFaults();
  private final Set<Integer> withoutState = new HashSet<>();
  private final Set<Integer> withoutWorkers = new HashSet<>();
  private final Set<Integer> withoutPeers = new HashSet<>();
  private final Set<Integer> withRejectedStateCalls = new HashSet<>();
  private final Set<Integer> withStalledWatches = new HashSet<>();

  /** Controllers that the machines of each partitioned zone can reach, by zone. */
  private final Map<String, Set<Integer>> partitions = new HashMap<>();

  private Optional<IsolatedZone> isolatedZone = Optional.empty();
  private Optional<HeldCommit> heldCommit = Optional.empty();
  private boolean stateOutage;
  private boolean duplicateHeartbeats;
  private boolean copiesOfMessages;
  private int commitAnswersToLose;
  private long lostCommitDelayMicros;
  private double lateCommitShare;
  private long commandDelayMicros;
  private long peerDelayMicros;
  private long stateDelayMicros;
  private final Map<Integer, Long> commitAnswerDelaysMicros = new HashMap<>();

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

  /** Disconnects a controller from all other controllers, or reconnects it. */
  public void disconnectFromPeers(int node, boolean cut) {
    set(withoutPeers, node, cut);
  }

  /** Begins or ends an outage of the state service. All leases are renewed when the outage ends. */
  public void stateOutage(boolean on) {
    stateOutage = on;
    if (!on) {
      state.renewAll();
    }
  }

  /**
   * Makes the state service answer one controller, and no other, with 503, or ends this. Meanwhile
   * the controller's watches hang. Its leases are not revoked; they last until they expire.
   */
  public void rejectStateCalls(int node, boolean on) {
    set(withRejectedStateCalls, node, on);
  }

  /**
   * Stops a controller's watches from reporting changes, or ends this. All other calls are served.
   */
  public void stallWatch(int node, boolean on) {
    set(withStalledWatches, node, on);
  }

  /**
   * Isolates a zone together with one controller. The controller and the workers of the zone reach
   * only each other.
   */
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

  /** Partitions a zone: its machines reach only the given controllers. */
  public void partitionZone(String zone, Set<Integer> controllers) {
    partitions.put(zone, controllers);
  }

  /** Ends all partitions of zones. */
  public void healPartitions() {
    partitions.clear();
  }

  /**
   * Holds the next transaction whose text contains the given key: it gets no answer and is carried
   * out after the delay.
   */
  public void holdNextCommit(String key, long delayMicros) {
    heldCommit = Optional.of(new HeldCommit(key, delayMicros));
  }

  /**
   * Makes the given number of the next transactions get no answer, although they are carried out.
   */
  public void loseCommitAnswers(int count) {
    commitAnswersToLose = count;
  }

  /** Makes one more of the next transactions get no answer. */
  public void loseOneMoreCommitAnswer() {
    commitAnswersToLose++;
  }

  /**
   * Sets the additional delay after which the transactions of {@link #loseCommitAnswers} are
   * carried out.
   */
  public void delayLostCommits(long micros) {
    lostCommitDelayMicros = micros;
  }

  /** Sets the share of transactions that get no answer and are carried out 2 to 12 s later. */
  public void lateCommitShare(double share) {
    lateCommitShare = share;
  }

  /** Sets the additional delay of heartbeat responses and direct commands. */
  public void delayCommands(long micros) {
    commandDelayMicros = micros;
  }

  /**
   * Sets the additional delay of messages between controllers; messages may overtake one another.
   */
  public void delayPeerMessages(long micros) {
    peerDelayMicros = micros;
  }

  /** Sets the additional delay of each call to the state service. */
  public void delayStateCalls(long micros) {
    stateDelayMicros = micros;
  }

  /**
   * Sets the additional delay of the answers to a controller's transactions, which are still
   * carried out in time. Answers to transactions that give a shard a new owner are not delayed.
   */
  public void delayCommitAnswers(int node, long micros) {
    commitAnswerDelaysMicros.put(node, micros);
  }

  /** Turns late duplicates of heartbeats on or off. A duplicate may arrive at any controller. */
  public void duplicateHeartbeats(boolean on) {
    duplicateHeartbeats = on;
  }

  /**
   * Turns late copies on or off: of heartbeats, of the answers to them as long as the worker may
   * still carry them out, and of direct commands.
   */
  public void copyMessages(boolean on) {
    copiesOfMessages = on;
  }

  private static void set(Set<Integer> nodes, int node, boolean on) {
    if (on) {
      nodes.add(node);
    } else {
      nodes.remove(node);
    }
  }

  /** Returns whether requests of a controller to the state service are lost. */
  boolean losesStateRequests(int node) {
    return withoutState.contains(node) || links.drops(node, Direction.STATE_REQUESTS);
  }

  boolean rejectsStateCalls(int node) {
    return withRejectedStateCalls.contains(node);
  }

  /** Returns whether a watch of a controller can be answered. */
  boolean servesWatch(int node) {
    return !stateOutage
        && !withoutState.contains(node)
        && !withRejectedStateCalls.contains(node)
        && !withStalledWatches.contains(node)
        && !links.drops(node, Direction.STATE_ANSWERS);
  }

  boolean hasStateOutage() {
    return stateOutage;
  }

  /** Returns whether a controller and the machines of a zone can reach one another. */
  boolean connectsWorkers(int node, String zone) {
    Set<Integer> controllers = partitions.get(zone);
    if (withoutWorkers.contains(node) || (controllers != null && !controllers.contains(node))) {
      return false;
    }
    return isolatedZone.isEmpty()
        || isolatedZone.get().zone().equals(zone) == (node == isolatedZone.get().node());
  }

  /** Returns whether messages from one controller reach another controller. */
  boolean connectsPeers(int from, int to) {
    return !withoutPeers.contains(from) && !withoutPeers.contains(to) && !links.dropsPeer(from, to);
  }

  /** Returns whether the next transaction loses its answer, and counts it. */
  boolean takeLostCommitAnswer() {
    if (commitAnswersToLose <= 0) {
      return false;
    }
    commitAnswersToLose--;
    return true;
  }

  /**
   * Returns the delay of a transaction that is to be held; only the first matching transaction is
   * held.
   */
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

  long lostCommitDelayMicros() {
    return lostCommitDelayMicros;
  }

  double lateCommitShare() {
    return lateCommitShare;
  }

  long commandDelayMicros() {
    return commandDelayMicros;
  }

  long peerDelayMicros() {
    return peerDelayMicros;
  }

  long stateDelayMicros() {
    return stateDelayMicros;
  }

  /** Returns the additional delay of the answer to a transaction. */
  long commitAnswerDelayMicros(int node, byte[] transaction) {
    String text = new String(transaction, StandardCharsets.UTF_8);
    return text.contains(SHARD_RECORD_WRITE) ? 0 : commitAnswerDelaysMicros.getOrDefault(node, 0L);
  }

  boolean duplicatesHeartbeats() {
    return duplicateHeartbeats;
  }

  boolean copiesMessages() {
    return copiesOfMessages;
  }
}
