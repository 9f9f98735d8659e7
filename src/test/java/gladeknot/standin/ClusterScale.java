package gladeknot.standin;

/**
 * The size of a simulated cluster.
 *
 * @param machines how many machines the cloud rents out at most
 * @param teamCpus the limit of the one team, in thousandths of a CPU; 0 for none
 * @param stateRps requests a second that the state service takes
 * @param writeRps transactions a second that the state service takes
 * @param valueBytes largest value that the state service takes
 * @param nextValueBytes the same after its limits were lowered
 * @param nextOperations most writes of a transaction after the limits were lowered
 */
public record ClusterScale(
    int machines,
    long teamCpus,
    double stateRps,
    double writeRps,
    int valueBytes,
    int nextValueBytes,
    int nextOperations) {
  public static final long TEAM_CPUS = 24_000;

  /** Most writes of a transaction before the limits are lowered. */
  static final int OPERATIONS = 16;

  private static final int VALUE_BYTES = 8192;

  /** The scale of most tests: twelve machines. */
  public static final ClusterScale SMALL = new ClusterScale(12, TEAM_CPUS, 300, 150);

  /** A scale whose limits of the state service stay as they are. */
  public ClusterScale(
      int machines, long teamCpus, double stateRps, double writeRps, int valueBytes) {
    this(machines, teamCpus, stateRps, writeRps, valueBytes, valueBytes, OPERATIONS);
  }

  /** The same with values of 8 KiB. */
  public ClusterScale(int machines, long teamCpus, double stateRps, double writeRps) {
    this(machines, teamCpus, stateRps, writeRps, VALUE_BYTES);
  }

  /** Whether so many one-CPU tasks are more than the team may run. */
  boolean exceedsTeamLimit(long tasks) {
    return teamCpus > 0 && tasks * 1000 > teamCpus;
  }
}
