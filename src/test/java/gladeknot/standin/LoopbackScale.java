package gladeknot.standin;

import gladeknot.json.ResourceUnits;
import gladeknot.settings.Settings;
import java.util.List;

/**
 * The size of a cluster on loopback.
 *
 * @param machines maximum number of machines that the cloud rents out
 * @param machineGpus number of GPUs of each machine of a second type; 0 if there is no such type
 * @param teams the teams with their limits, amounts in thousandths
 * @param taskMicros run time of tasks that end by themselves, in microseconds
 * @param valueKilobytes largest value that the state service takes, in KiB
 * @param stateRps requests per second that the state service is said to serve
 * @param writeRps writes per second that the state service is said to serve
 */
public record LoopbackScale(
    int machines,
    int machineGpus,
    List<Settings.Team> teams,
    long taskMicros,
    double valueKilobytes,
    double stateRps,
    double writeRps) {
  private static final double DEFAULT_VALUE_KILOBYTES = 8;
  private static final int BYTES_PER_KILOBYTE = 1024;
  private static final double DEFAULT_STATE_RPS = 200;
  private static final double DEFAULT_WRITE_RPS = 80;

  /** Twenty machines and one team whose tasks run for one second. */
  public static final LoopbackScale SMALL =
      new LoopbackScale(20, 0, List.of(TestTeams.team("dev", 8_000, 40_000, 0, 0)), 1_000_000);

  /** Creates a scale whose state service takes values of up to 8 KiB. */
  public LoopbackScale(int machines, int machineGpus, List<Settings.Team> teams, long taskMicros) {
    this(machines, machineGpus, teams, taskMicros, DEFAULT_VALUE_KILOBYTES);
  }

  /** Creates a scale with the default rates of the state service. */
  public LoopbackScale(
      int machines,
      int machineGpus,
      List<Settings.Team> teams,
      long taskMicros,
      double valueKilobytes) {
    this(
        machines,
        machineGpus,
        teams,
        taskMicros,
        valueKilobytes,
        DEFAULT_STATE_RPS,
        DEFAULT_WRITE_RPS);
  }

  /** Returns this scale with other rates of the state service. */
  public LoopbackScale withStateRates(double requestsPerSecond, double writesPerSecond) {
    return new LoopbackScale(
        machines,
        machineGpus,
        teams,
        taskMicros,
        valueKilobytes,
        requestsPerSecond,
        writesPerSecond);
  }

  /** Returns the size of the largest value that the state service takes, in bytes. */
  int valueBytes() {
    return (int) (valueKilobytes * BYTES_PER_KILOBYTE);
  }

  /** Returns this scale with another run time of tasks. */
  public LoopbackScale withTaskMicros(long micros) {
    return new LoopbackScale(
        machines, machineGpus, teams, micros, valueKilobytes, stateRps, writeRps);
  }

  /** Returns the limits of the state service in the form of the settings file. */
  String stateSettings() {
    return "[cluster.state]\nrps = "
        + stateRps
        + "\nwrite_rps = "
        + writeRps
        + "\ntxn_ops = 12\nvalue_kb = "
        + valueKilobytes
        + "\n";
  }

  /** Returns the teams in the form of the settings file. */
  String teamSettings() {
    StringBuilder text = new StringBuilder();
    for (Settings.Team team : teams) {
      text.append("[[cluster.teams]]\nname = \"" + team.name() + "\"\n");
      text.append("cpus = " + ResourceUnits.toDecimal(team.cpus()) + "\n");
      text.append("cpus_max = " + ResourceUnits.toDecimal(team.cpusMax()) + "\n");
      text.append("gpus = " + ResourceUnits.toDecimal(team.gpus()) + "\n");
      text.append("gpus_max = " + ResourceUnits.toDecimal(team.gpusMax()) + "\n");
    }
    return text.toString();
  }
}
