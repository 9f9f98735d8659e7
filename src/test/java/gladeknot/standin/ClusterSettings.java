package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of the controllers of a simulated cluster. */
public final class ClusterSettings {
  /** How long a worker keeps running without a heartbeat response. */
  public static final long LEASE = 8 * SECOND;

  /** How long tasks of a cancelled job may go on after the confirmation. */
  public static final long CANCEL = 25 * SECOND;

  /** How often workers send heartbeats. */
  static final long HEARTBEAT_INTERVAL = SECOND;

  private ClusterSettings() {}

  /** The settings of one of several controllers, by its index. */
  public static Settings of(int node, int count, ClusterScale scale) {
    return new Settings(
        "node-" + node,
        "a",
        "10.0.0." + node + ":80",
        "10.0.0." + node + ":1",
        otherMembers(node, count),
        "cloud:1",
        "state:1",
        List.of("a", "b"),
        0,
        teams(scale),
        List.of(
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.9, 1),
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.95, 1.5),
            new Settings.Objective(ObjectiveKind.WAIT, "scan", 5 * SECOND, 0.9, 0)),
        new Settings.Workers(HEARTBEAT_INTERVAL, LEASE, 30 * SECOND, 5 * SECOND, CANCEL),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.valueBytes(), ClusterScale.OPERATIONS),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.nextValueBytes(), scale.nextOperations()),
        new Settings.CloudLimits(20, 3 * SECOND),
        500);
  }

  private static Map<String, Settings.Team> teams(ClusterScale scale) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    scale.teams().forEach(team -> teams.put(team.name(), team));
    return Collections.unmodifiableMap(teams);
  }

  private static List<Settings.Member> otherMembers(int node, int count) {
    List<Settings.Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      if (i != node) {
        members.add(new Settings.Member("node-" + i, "a", "10.0.0." + i + ":1"));
      }
    }
    return members;
  }
}
