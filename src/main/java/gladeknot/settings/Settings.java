package gladeknot.settings;

import java.util.List;
import java.util.Map;

/** What the platform hands over; durations in microseconds, sizes in bytes. */
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
   * A service-level objective; {@code withinMicros} and {@code times} are 0 where they do not
   * apply.
   */
  public record Objective(
      ObjectiveKind kind, String jobClass, long withinMicros, double share, double times) {}

  /** The workers' times. */
  public record Workers(
      long heartbeatMicros,
      long leaseMicros,
      long gangWaitMicros,
      long gangPeerMicros,
      long cancelMicros) {}

  /** What the state service takes. */
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

  /** What the cloud takes. */
  public record CloudLimits(double rps, long listLagMicros) {}

  /** All controllers' names in order, this one's among them; a shard's number is its place here. */
  public List<String> nodes() {
    return java.util.stream.Stream.concat(
            java.util.stream.Stream.of(node), members.stream().map(Member::node))
        .sorted()
        .toList();
  }

  /** The zones that have a controller. */
  public java.util.Set<String> controllerZones() {
    java.util.Set<String> in = new java.util.HashSet<>();
    in.add(zone);
    members.forEach(m -> in.add(m.zone()));
    return in;
  }
}
