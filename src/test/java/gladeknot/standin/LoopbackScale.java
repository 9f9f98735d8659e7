package gladeknot.standin;

import gladeknot.settings.Settings;
import java.util.List;

/**
 * The size of a cluster on loopback.
 *
 * @param machines how many machines the cloud rents out at most
 * @param machineGpus how many GPUs machines of a second type have; 0 if there is no such type
 * @param teams the teams with their limits, amounts in thousandths
 * @param taskMicros how long tasks run that end by themselves
 * @param valueKilobytes largest value that the state service takes, in KiB
 */
public record LoopbackScale(
    int machines,
    int machineGpus,
    List<Settings.Team> teams,
    long taskMicros,
    double valueKilobytes) {
  private static final double VALUE_KILOBYTES = 8;
  private static final int BYTES = 1024;
  private static final double MILLIS = 1000;

  /** Twenty machines and one team whose tasks run for a second. */
  public static final LoopbackScale SMALL =
      new LoopbackScale(20, 0, List.of(new Settings.Team("dev", 8_000, 40_000, 0, 0)), 1_000_000);

  /** A scale with values of 8 KiB. */
  public LoopbackScale(int machines, int machineGpus, List<Settings.Team> teams, long taskMicros) {
    this(machines, machineGpus, teams, taskMicros, VALUE_KILOBYTES);
  }

  /** The largest value that the state service takes, in bytes. */
  int valueBytes() {
    return (int) (valueKilobytes * BYTES);
  }

  /** The same with tasks of another length. */
  public LoopbackScale withTaskMicros(long micros) {
    return new LoopbackScale(machines, machineGpus, teams, micros, valueKilobytes);
  }

  /** The limits of the state service as a settings file has them. */
  String stateSettings() {
    return "[cluster.state]\nrps = 200.0\nwrite_rps = 80.0\ntxn_ops = 12\nvalue_kb = "
        + valueKilobytes
        + "\n";
  }

  /** The teams as a settings file has them. */
  String teamSettings() {
    StringBuilder text = new StringBuilder();
    for (Settings.Team team : teams) {
      text.append("[[cluster.teams]]\nname = \"" + team.name() + "\"\n");
      text.append("cpus = " + team.cpus() / MILLIS + "\n");
      text.append("cpus_max = " + team.cpusMax() / MILLIS + "\n");
      text.append("gpus = " + team.gpus() / MILLIS + "\n");
      text.append("gpus_max = " + team.gpusMax() / MILLIS + "\n");
    }
    return text.toString();
  }
}
