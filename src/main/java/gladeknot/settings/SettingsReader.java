package gladeknot.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import gladeknot.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the platform's settings file and collects all faults, each with the name of its field. */
public final class SettingsReader {
  private static final double BYTES_PER_KIB = 1024;

  /** Minimum size limit for a value: a job does not fit into a smaller one. */
  private static final double MIN_VALUE_KIB = 1;

  /** Minimum limit for operations in a transaction: a shard and its term are written together. */
  private static final double MIN_TRANSACTION_OPERATIONS = 2;

  /** Minimum by which {@code cancel_s} must exceed {@code lease_s}. */
  private static final long MIN_CANCEL_ABOVE_LEASE_MICROS = 4_000_000;

  private static final int DEFAULT_MAX_CONNECTIONS = 1000;

  private final List<String> faults = new ArrayList<>();

  /**
   * Result of reading a settings file.
   *
   * @param settings the settings; null if there are faults
   * @param faults the faults found, each with its field; empty if there are none
   */
  public record Result(Settings settings, List<String> faults) {}

  private SettingsReader() {}

  /** Reads a settings file. */
  public static Result read(Path file) {
    Map<String, Object> root;
    try {
      root = Json.map(JSON.builder(new TomlFactory()).build().anyFrom(Files.readAllBytes(file)));
    } catch (JsonProcessingException e) {
      return new Result(null, List.of("not TOML: " + e.getOriginalMessage()));
    } catch (IOException e) {
      return new Result(null, List.of("can't be read: " + e.getMessage()));
    }
    return read(root);
  }

  /** Reads the settings from a parsed file. */
  public static Result read(Map<String, Object> root) {
    SettingsReader reader = new SettingsReader();
    Settings settings = reader.readRoot(new SettingsTable(root, "", reader.faults));
    return reader.faults.isEmpty()
        ? new Result(settings, List.of())
        : new Result(null, List.copyOf(reader.faults));
  }

  /** Reads section by section; faults are reported in this order. */
  private Settings readRoot(SettingsTable root) {
    String node = root.text("node_name");
    SettingsTable external = root.table("external");
    SettingsTable cluster = root.table("cluster");
    SettingsTable workersTable = cluster.table("workers");
    SettingsTable state = cluster.table("state");
    SettingsTable cloud = cluster.table("cloud");
    List<Settings.Member> members = readMembers(root, node);
    Map<String, Settings.Team> teams = readTeams(cluster);
    List<Settings.Objective> objectives = readObjectives(cluster);
    Settings.Workers workers = readWorkers(workersTable);
    Settings.StateLimits stateLimits = readStateLimits(state);
    return new Settings(
        node,
        root.optionalText("domain"),
        root.address("client_listen"),
        root.address("back"),
        members,
        external.address("cloud"),
        external.address("state"),
        cluster.texts("zones"),
        cluster.optionalMillisAsMicros("clock_error_ms"),
        teams,
        objectives,
        workers,
        stateLimits,
        readNextStateLimits(state, stateLimits),
        readCloudLimits(cloud),
        cluster
            .optionalTable("machine_limits")
            .optionalInt("max_connections", DEFAULT_MAX_CONNECTIONS));
  }

  private static List<Settings.Member> readMembers(SettingsTable root, String node) {
    List<Settings.Member> members = new ArrayList<>();
    for (SettingsTable member : root.tables("members")) {
      String name = member.text("node_name");
      if (name.equals(node)) {
        member.fault("node_name", "is this controller's own name");
      }
      members.add(new Settings.Member(name, member.optionalText("domain"), member.address("addr")));
    }
    return List.copyOf(members);
  }

  private static Map<String, Settings.Team> readTeams(SettingsTable cluster) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (SettingsTable table : cluster.tables("teams")) {
      Settings.Team team =
          new Settings.Team(
              table.text("name"),
              table.resources("cpus"),
              table.resourceLimit("cpus_max"),
              table.resources("gpus"),
              table.resourceLimit("gpus_max"));
      teams.put(team.name(), team);
    }
    return Map.copyOf(teams);
  }

  private static List<Settings.Objective> readObjectives(SettingsTable cluster) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (SettingsTable objective : cluster.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              ObjectiveKind.ofSettingName(objective.optionalText("kind")),
              objective.optionalText("class"),
              objective.optionalSecondsAsMicros("within_s"),
              objective.optionalNumber("share", 0),
              objective.optionalNumber("times", 0)));
    }
    return List.copyOf(objectives);
  }

  private Settings.Workers readWorkers(SettingsTable table) {
    Settings.Workers workers =
        new Settings.Workers(
            table.secondsAsMicros("report_s"),
            table.secondsAsMicros("lease_s"),
            table.secondsAsMicros("gang_wait_s"),
            table.secondsAsMicros("gang_peer_s"),
            table.secondsAsMicros("cancel_s"));
    long minCancelMicros = workers.leaseMicros() + MIN_CANCEL_ABOVE_LEASE_MICROS;
    // After another fault, either duration may be a placeholder that is not in the file.
    if (faults.isEmpty() && workers.cancelMicros() < minCancelMicros) {
      table.fault("cancel_s", "must be at least 4 s above lease_s");
    }
    return workers;
  }

  private static Settings.StateLimits readStateLimits(SettingsTable table) {
    return new Settings.StateLimits(
        table.positive("rps"),
        table.positive("write_rps"),
        (int) (table.atLeast("value_kb", MIN_VALUE_KIB) * BYTES_PER_KIB),
        (int) table.atLeast("txn_ops", MIN_TRANSACTION_OPERATIONS));
  }

  /** Reads the announced limits; a limit that is not announced keeps its current value. */
  private static Settings.StateLimits readNextStateLimits(
      SettingsTable state, Settings.StateLimits current) {
    if (!state.has("next")) {
      return current;
    }
    Map<String, Object> defaults =
        Json.of(
            "rps", current.requestsPerSecond(),
            "write_rps", current.writesPerSecond(),
            "value_kb", current.valueBytes() / BYTES_PER_KIB,
            "txn_ops", current.maxTransactionOperations());
    return readStateLimits(state.table("next").withDefaults(defaults));
  }

  private static Settings.CloudLimits readCloudLimits(SettingsTable cloud) {
    return new Settings.CloudLimits(
        cloud.positive("rps"), cloud.optionalSecondsAsMicros("list_lag_s"));
  }
}
