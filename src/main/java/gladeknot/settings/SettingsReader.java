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

/** Reads the platform's file, collecting every fault with the name of its field. */
public final class SettingsReader {
  private static final double BYTES_A_KIB = 1024;

  /** So that bytes and counts fit an int. */
  private static final double MAX_LIMIT = 1_000_000;

  /** A smaller value can't hold a job. */
  private static final double MIN_VALUE_KIB = 1;

  /** A shard and its term change hands together. */
  private static final double MIN_OPERATIONS = 2;

  private final List<String> faults = new ArrayList<>();

  /** The settings, or the faults that keep them from being used. */
  public record Result(Settings settings, List<String> faults) {}

  /** Reads a file. */
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

  /** Reads a parsed file. */
  public static Result read(Map<String, Object> root) {
    SettingsReader reader = new SettingsReader();
    Settings settings = reader.settings(root);
    return reader.faults.isEmpty()
        ? new Result(settings, List.of())
        : new Result(null, List.copyOf(reader.faults));
  }

  private Settings settings(Map<String, Object> root) {
    String node = text(root, "", "node_name");
    Map<String, Object> external = table(root, "", "external");
    Map<String, Object> cluster = table(root, "", "cluster");
    Map<String, Object> w = table(cluster, "cluster.", "workers");
    Map<String, Object> s = table(cluster, "cluster.", "state");
    Map<String, Object> c = table(cluster, "cluster.", "cloud");
    Map<String, Object> m = Json.map(cluster.get("machine_limits"));
    List<Settings.Member> members = new ArrayList<>();
    int i = 0;
    for (Map<String, Object> member : Json.objects(root, "members")) {
      String at = "members[" + i++ + "].";
      String name = text(member, at, "node_name");
      if (name.equals(node)) {
        faults.add(at + "node_name: is this controller's own name");
      }
      String zone = Json.text(member, "domain");
      members.add(new Settings.Member(name, zone, address(member, at, "addr")));
    }
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    i = 0;
    for (Map<String, Object> team : Json.objects(cluster, "teams")) {
      String at = "cluster.teams[" + i++ + "].";
      String name = text(team, at, "name");
      teams.put(
          name,
          new Settings.Team(
              name,
              milli(team, at, "cpus"),
              milli(team, at, "cpus_max"),
              milli(team, at, "gpus"),
              milli(team, at, "gpus_max")));
    }
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Map<String, Object> o : Json.objects(cluster, "objectives")) {
      objectives.add(
          new Settings.Objective(
              ObjectiveKind.ofWord(Json.text(o, "kind")),
              Json.text(o, "class"),
              (long) (Json.real(o, "within_s", 0) * 1e6),
              Json.real(o, "share", 0),
              Json.real(o, "times", 0)));
    }
    Settings.Workers workers =
        new Settings.Workers(
            micros(w, "cluster.workers.", "report_s"),
            micros(w, "cluster.workers.", "lease_s"),
            micros(w, "cluster.workers.", "gang_wait_s"),
            micros(w, "cluster.workers.", "gang_peer_s"),
            micros(w, "cluster.workers.", "cancel_s"));
    if (faults.isEmpty() && workers.cancelMicros() < workers.leaseMicros() + 4_000_000) {
      faults.add("cluster.workers.cancel_s: must be at least 4 s above lease_s");
    }
    Settings.StateLimits present = stateLimits(s, "cluster.state.");
    return new Settings(
        node,
        Json.text(root, "domain"),
        address(root, "", "client_listen"),
        address(root, "", "back"),
        List.copyOf(members),
        address(external, "external.", "cloud"),
        address(external, "external.", "state"),
        Json.texts(cluster, "zones"),
        (long) (Json.real(cluster, "clock_error_ms", 0) * 1000),
        Map.copyOf(teams),
        List.copyOf(objectives),
        workers,
        present,
        nextStateLimits(s, present),
        new Settings.CloudLimits(
            positive(c, "cluster.cloud.", "rps"), (long) (Json.real(c, "list_lag_s", 0) * 1e6)),
        (int) Json.num(m, "max_connections", 1000));
  }

  private Settings.StateLimits stateLimits(Map<String, Object> from, String at) {
    return new Settings.StateLimits(
        positive(from, at, "rps"),
        positive(from, at, "write_rps"),
        (int) (atLeast(from, at, "value_kb", MIN_VALUE_KIB) * BYTES_A_KIB),
        (int) atLeast(from, at, "txn_ops", MIN_OPERATIONS));
  }

  /** The limits to come; what is not named stays as it is. */
  private Settings.StateLimits nextStateLimits(
      Map<String, Object> state, Settings.StateLimits present) {
    if (!state.containsKey("next")) {
      return present;
    }
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("rps", present.rps());
    next.put("write_rps", present.writeRps());
    next.put("value_kb", present.valueBytes() / BYTES_A_KIB);
    next.put("txn_ops", present.txnOps());
    next.putAll(table(state, "cluster.state.", "next"));
    return stateLimits(next, "cluster.state.next.");
  }

  private Map<String, Object> table(Map<String, Object> from, String at, String name) {
    if (!(from.get(name) instanceof Map)) {
      faults.add(at + name + ": missing table");
    }
    return Json.map(from.get(name));
  }

  private String text(Map<String, Object> from, String at, String name) {
    String value = Json.text(from, name);
    if (value == null || value.isEmpty()) {
      faults.add(at + name + ": missing, or not a text");
      return "";
    }
    return value;
  }

  private String address(Map<String, Object> from, String at, String name) {
    String value = text(from, at, name);
    if (!value.isEmpty() && !value.matches("[^:]+:[0-9]{1,5}")) {
      faults.add(at + name + ": not of the form host:port");
    }
    return value;
  }

  private double positive(Map<String, Object> from, String at, String name) {
    double value = Json.real(from, name, Double.NaN);
    if (!(value > 0) || Double.isInfinite(value)) {
      faults.add(at + name + ": must be a number above 0");
      return 1;
    }
    return value;
  }

  private double atLeast(Map<String, Object> from, String at, String name, double least) {
    double value = Json.real(from, name, Double.NaN);
    if (!(value >= least) || value > MAX_LIMIT) {
      faults.add(at + name + ": must be a number of " + least + " or more");
      return least;
    }
    return value;
  }

  private long micros(Map<String, Object> from, String at, String name) {
    return (long) (positive(from, at, name) * 1e6);
  }

  private long milli(Map<String, Object> from, String at, String name) {
    double value = Json.real(from, name, Double.NaN);
    if (!(value >= 0)) {
      faults.add(at + name + ": must be a number, 0 or more");
      return 0;
    }
    return Math.round(value * 1000);
  }
}
