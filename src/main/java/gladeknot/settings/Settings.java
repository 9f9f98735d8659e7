package gladeknot.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Settings from the platform, constant for the life of a process. Durations are in microseconds,
 * sizes in bytes, addresses in the form host:port.
 *
 * @param node this controller's name
 * @param zone this controller's zone; null if the file names none
 * @param clientListen address of the listener for users and workers
 * @param peerListen address of the listener for the other controllers
 * @param members the other controllers
 * @param cloudAddress address of the cloud's interface
 * @param stateAddress address of the state service
 * @param zones zones that machines can be in
 * @param clockErrorMicros maximum difference between two clocks
 * @param teams the teams by name
 * @param objectives the service-level objectives, in the order of the file
 * @param workers timing of the workers
 * @param stateLimits current limits of the state service
 * @param nextStateLimits limits of the state service after an announced change; equal to {@code
 *     stateLimits} if none is announced
 * @param cloudLimits limits of the cloud
 * @param maxConnections maximum number of sockets of the process
 */
public record Settings(
    String node,
    String zone,
    String clientListen,
    String peerListen,
    List<Member> members,
    String cloudAddress,
    String stateAddress,
    List<String> zones,
    long clockErrorMicros,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    StateLimits nextStateLimits,
    CloudLimits cloudLimits,
    int maxConnections) {

  /** Another controller. */
  public record Member(String node, String zone, String address) {}

  /** A team's guarantee and limit; CPUs and GPUs in billionths. A limit of 0 means no limit. */
  public record Team(String name, long cpus, long cpusMax, long gpus, long gpusMax) {
    /** Returns whether the team's CPUs are limited. */
    public boolean limitsCpus() {
      return cpusMax > 0;
    }

    /** Returns whether the team's GPUs are limited. */
    public boolean limitsGpus() {
      return gpusMax > 0;
    }

    /** Returns whether the team's limits allow these amounts in use at once. */
    public boolean allows(long usedCpus, long usedGpus) {
      return (!limitsCpus() || usedCpus <= cpusMax) && (!limitsGpus() || usedGpus <= gpusMax);
    }
  }

  /**
   * A service-level objective.
   *
   * @param kind quantity that the objective measures
   * @param jobClass class of jobs that the objective covers; null if the file names none
   * @param withinMicros maximum time that meets the objective; 0 where none applies
   * @param share fraction that is to meet the objective, such as a fraction of the jobs
   * @param deadlineMultiple multiple of the jobs' deadlines; 0 where none applies
   */
  public record Objective(
      ObjectiveKind kind,
      String jobClass,
      long withinMicros,
      double share,
      double deadlineMultiple) {}

  /**
   * Timing of the workers.
   *
   * @param heartbeatMicros interval between two heartbeats
   * @param leaseMicros duration of a lease, from the sending of the heartbeat that renewed it
   * @param gangWaitMicros maximum time that the tasks of a gang wait for each other to start
   * @param gangPeerMicros maximum time in which the tasks of a running gang notice that one of them
   *     is gone
   * @param cancelMicros time after a cancellation by which no task of the job may run any more
   */
  public record Workers(
      long heartbeatMicros,
      long leaseMicros,
      long gangWaitMicros,
      long gangPeerMicros,
      long cancelMicros) {}

  /**
   * Limits of the state service.
   *
   * @param requestsPerSecond maximum number of requests per second
   * @param writesPerSecond maximum number of writes per second
   * @param valueBytes maximum size of a value, in bytes
   * @param maxTransactionOperations maximum number of operations in a transaction
   */
  public record StateLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int valueBytes,
      int maxTransactionOperations) {
    /** Returns the smaller value of each limit. */
    public StateLimits smaller(StateLimits other) {
      return new StateLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(valueBytes, other.valueBytes),
          Math.min(maxTransactionOperations, other.maxTransactionOperations));
    }
  }

  /** Limits of the cloud: requests per second, and the maximum age of its lists of machines. */
  public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

  /**
   * Returns the names of all controllers, including this one, in sorted order. The index of a name
   * is the number of that controller's home shard.
   */
  public List<String> nodes() {
    return Stream.concat(Stream.of(node), members.stream().map(Member::node)).sorted().toList();
  }

  /** Returns the zones that have a controller. */
  public Set<String> controllerZones() {
    Set<String> controllerZones = new HashSet<>();
    controllerZones.add(zone);
    members.forEach(member -> controllerZones.add(member.zone()));
    return controllerZones;
  }
}
