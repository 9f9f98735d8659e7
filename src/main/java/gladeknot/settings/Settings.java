package gladeknot.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What the platform sets, the same for the life of a process. Durations are in microseconds, sizes
 * in bytes, addresses host:port.
 *
 * @param node this controller's name
 * @param zone the zone that it runs in; null if the file names none
 * @param clientListen where it listens for users and workers
 * @param peerListen where it listens for the other controllers
 * @param members the other controllers
 * @param cloudAddress the cloud's interface
 * @param stateAddress the state store
 * @param zones the zones that machines can be in
 * @param clockErrorMicros by how much two clocks may differ
 * @param teams the teams by name
 * @param objectives the service-level objectives, in the order of the file
 * @param workers the workers' timing
 * @param stateLimits what the state store takes now
 * @param nextStateLimits what it will take after an announced change; the same if there is none
 * @param cloudLimits what the cloud takes
 * @param maxConnections how many sockets the process may have
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

  /** A team's guarantee and limit; CPUs and GPUs in thousandths. A limit of 0 is no limit. */
  public record Team(String name, long cpus, long cpusMax, long gpus, long gpusMax) {
    /** Whether the team's CPUs are limited. */
    public boolean limitsCpus() {
      return cpusMax > 0;
    }

    /** Whether the team's GPUs are limited. */
    public boolean limitsGpus() {
      return gpusMax > 0;
    }

    /** Whether the team's tasks may use such amounts at once. */
    public boolean allows(long useCpus, long useGpus) {
      return (!limitsCpus() || useCpus <= cpusMax) && (!limitsGpus() || useGpus <= gpusMax);
    }
  }

  /**
   * A service-level objective.
   *
   * @param kind what it measures
   * @param jobClass the class of jobs that it is for; null if the file names none
   * @param withinMicros the time in which it is to happen; 0 where that does not apply
   * @param share the share of the jobs that is to meet it
   * @param times the multiple of the jobs' deadlines; 0 where that does not apply
   */
  public record Objective(
      ObjectiveKind kind, String jobClass, long withinMicros, double share, double times) {}

  /**
   * The workers' timing.
   *
   * @param heartbeatMicros between two heartbeats
   * @param leaseMicros how long a lease lasts, from the sending of the heartbeat that renewed it
   * @param gangWaitMicros for so long the tasks of a gang wait for each other to start
   * @param gangPeerMicros within this the tasks of a running gang notice that one of them is gone
   * @param cancelMicros within this after a cancellation no task may run any more
   */
  public record Workers(
      long heartbeatMicros,
      long leaseMicros,
      long gangWaitMicros,
      long gangPeerMicros,
      long cancelMicros) {}

  /** What the state store takes: requests and writes a second, bytes, operations. */
  public record StateLimits(double rps, double writeRps, int valueBytes, int txnOps) {
    /** The smaller of each of two limits. */
    public StateLimits smaller(StateLimits other) {
      return new StateLimits(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueBytes, other.valueBytes),
          Math.min(txnOps, other.txnOps));
    }
  }

  /** What the cloud takes: requests a second, and how old its lists of machines may be. */
  public record CloudLimits(double rps, long listLagMicros) {}

  /** All controllers' names in order, this one's among them; a shard's number is its place here. */
  public List<String> nodes() {
    return Stream.concat(Stream.of(node), members.stream().map(Member::node)).sorted().toList();
  }

  /** The zones that have a controller. */
  public Set<String> controllerZones() {
    Set<String> controllerZones = new HashSet<>();
    controllerZones.add(zone);
    members.forEach(member -> controllerZones.add(member.zone()));
    return controllerZones;
  }
}
