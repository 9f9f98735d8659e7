package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of the controllers of a simulated cluster. */
public final class ClusterSettings {
  /** Time without a heartbeat response after which a worker stops its tasks, in microseconds. */
  public static final long LEASE_MICROS = 8 * MICROS_PER_SECOND;

  /** Maximum run time of a job's tasks after its confirmed cancellation, in microseconds. */
  public static final long CANCEL_MICROS = 25 * MICROS_PER_SECOND;

  /** Interval between a worker's heartbeats. */
  static final long HEARTBEAT_INTERVAL_MICROS = MICROS_PER_SECOND;

  private ClusterSettings() {}

  /** Returns the settings of the controller with the given index. */
  public static Settings of(int index, int controllers, ClusterScale scale) {
    return new Settings(
        scale.nodePrefix() + index,
        "a",
        "10.0.0." + index + ":80",
        "10.0.0." + index + ":1",
        otherMembers(index, controllers, scale.nodePrefix()),
        "cloud:1",
        "state:1",
        List.of("a", "b"),
        0,
        teams(scale),
        List.of(
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.9, 1),
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.95, 1.5),
            new Settings.Objective(ObjectiveKind.WAIT, "scan", 5 * MICROS_PER_SECOND, 0.9, 0)),
        new Settings.Workers(
            HEARTBEAT_INTERVAL_MICROS,
            LEASE_MICROS,
            30 * MICROS_PER_SECOND,
            5 * MICROS_PER_SECOND,
            CANCEL_MICROS),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.valueBytes(), ClusterScale.OPERATIONS),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.nextValueBytes(), scale.nextOperations()),
        new Settings.CloudLimits(20, 3 * MICROS_PER_SECOND),
        500);
  }

  private static Map<String, Settings.Team> teams(ClusterScale scale) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    scale.teams().forEach(team -> teams.put(team.name(), team));
    return Collections.unmodifiableMap(teams);
  }

  private static List<Settings.Member> otherMembers(int index, int controllers, String nodePrefix) {
    List<Settings.Member> members = new ArrayList<>();
    for (int i = 0; i < controllers; i++) {
      if (i != index) {
        members.add(new Settings.Member(nodePrefix + i, "a", "10.0.0." + i + ":1"));
      }
    }
    return members;
  }
}
