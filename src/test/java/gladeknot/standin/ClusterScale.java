package gladeknot.standin;

import gladeknot.settings.Settings;
import java.util.List;

/**
 * The size of a simulated cluster.
 *
 * @param machines maximum number of machines that the cloud rents out
 * @param machineGpus number of GPUs of each machine of a second type; 0 if there is no such type
 * @param teams the teams with their limits, amounts in thousandths; a limit of 0 is none
 * @param stateRps requests per second that the state service accepts
 * @param writeRps transactions per second that the state service accepts
 * @param valueBytes maximum size of a value that the state service accepts, in bytes
 * @param nextValueBytes maximum size of a value after the limits were lowered, in bytes
 * @param nextOperations maximum number of writes of a transaction after the limits were lowered
 * @param nodePrefix the part of the controllers' names before their numbers
 */
public record ClusterScale(
    int machines,
    int machineGpus,
    List<Settings.Team> teams,
    double stateRps,
    double writeRps,
    int valueBytes,
    int nextValueBytes,
    int nextOperations,
    String nodePrefix) {
  public static final long TEAM_CPUS = 24_000;

  /** Maximum number of writes of a transaction before the limits are lowered. */
  static final int OPERATIONS = 16;

  private static final int DEFAULT_VALUE_BYTES = 8192;
  private static final String DEFAULT_NODE_PREFIX = "node-";

  /** Scale of most tests: twelve machines. */
  public static final ClusterScale SMALL = new ClusterScale(12, TEAM_CPUS, 300, 150);

  /**
   * Creates a scale with one team, machines without GPUs, and limits of the state service that can
   * be lowered.
   */
  public ClusterScale(
      int machines,
      long teamCpus,
      double stateRps,
      double writeRps,
      int valueBytes,
      int nextValueBytes,
      int nextOperations) {
    this(
        machines,
        0,
        List.of(TestTeams.team("dev", teamCpus / 3, teamCpus, 0, 0)),
        stateRps,
        writeRps,
        valueBytes,
        nextValueBytes,
        nextOperations,
        DEFAULT_NODE_PREFIX);
  }

  /** Creates a scale whose limits of the state service stay as they are. */
  public ClusterScale(
      int machines, long teamCpus, double stateRps, double writeRps, int valueBytes) {
    this(machines, teamCpus, stateRps, writeRps, valueBytes, valueBytes, OPERATIONS);
  }

  /**
   * Creates a scale whose limits of the state service stay as they are, with values of up to 8 KiB.
   */
  public ClusterScale(int machines, long teamCpus, double stateRps, double writeRps) {
    this(machines, teamCpus, stateRps, writeRps, DEFAULT_VALUE_BYTES);
  }

  /**
   * Returns the scale of most tests with other teams, on machines with {@code machineGpus} GPUs.
   */
  public static ClusterScale withTeams(int machines, int machineGpus, Settings.Team... teams) {
    return new ClusterScale(
        machines,
        machineGpus,
        List.of(teams),
        SMALL.stateRps,
        SMALL.writeRps,
        DEFAULT_VALUE_BYTES,
        DEFAULT_VALUE_BYTES,
        OPERATIONS,
        DEFAULT_NODE_PREFIX);
  }

  /** Returns this scale with controllers of other names; a number follows the prefix. */
  public ClusterScale withNodePrefix(String prefix) {
    return new ClusterScale(
        machines,
        machineGpus,
        teams,
        stateRps,
        writeRps,
        valueBytes,
        nextValueBytes,
        nextOperations,
        prefix);
  }

  /** Returns this scale with other limits of the teams, as after a change of the settings. */
  public ClusterScale withLimits(Settings.Team... changed) {
    return new ClusterScale(
        machines,
        machineGpus,
        List.of(changed),
        stateRps,
        writeRps,
        valueBytes,
        nextValueBytes,
        nextOperations,
        nodePrefix);
  }
}
