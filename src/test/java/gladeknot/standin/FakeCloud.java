package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.standin.FakeStateStore.Answer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A small cloud: one machine type of two zones, with a limit on machines. */
public final class FakeCloud {
  /** A rented machine. */
  public static final class Machine {
    public final String id;
    public final String type;
    public final String zone;
    public final boolean spot;
    public final long rentedMicros;
    public final long upMicros;

    Machine(String id, String type, String zone, boolean spot, long rented, long up) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.rentedMicros = rented;
      this.upMicros = up;
    }
  }

  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> answered = new HashMap<>();
  private final int capacity;
  private final long bootMicros;
  private long nowMicros;
  private int next = 1;
  private long changes;

  /** A cloud with room for so many machines, each up after the given time. */
  public FakeCloud(int capacity, long bootMicros) {
    this.capacity = capacity;
    this.bootMicros = bootMicros;
  }

  public void advance(long now) {
    nowMicros = now;
  }

  public List<Machine> machines() {
    return List.copyOf(machines.values());
  }

  /** Takes a machine back. */
  public void take(String host) {
    machines.remove(host);
    changes++;
  }

  /** How many times machines have been rented or given back. */
  public long changes() {
    return changes;
  }

  /** Names used in rentals so far. */
  public int rentals() {
    return answered.size();
  }

  /** Serves a request. */
  public Answer serve(String method, String uri, byte[] body) throws IOException {
    if (uri.equals("/machine_types")) {
      return new Answer(
          200,
          Json.of(
              "hosttypes",
              List.of(
                  Json.of(
                      "label",
                      "small",
                      "cores",
                      4.0,
                      "accelerators",
                      0.0,
                      "memoryGb",
                      16.0,
                      "cacheGb",
                      40.0,
                      "fetchGbPerS",
                      1.0,
                      "rate",
                      0.2,
                      "marketPrice",
                      0.1,
                      "readyS",
                      bootMicros / 1e6,
                      "glades",
                      List.of("a", "b")))));
    }
    if (method.equals("POST") && uri.equals("/rentals")) {
      return rent(Json.object(body));
    }
    if (uri.equals("/rentals/release")) {
      Json.texts(Json.object(body), "hosts").forEach(machines::remove);
      changes++;
      return new Answer(200, Json.of());
    }
    List<Object> hosts = new ArrayList<>();
    for (Machine m : machines.values()) {
      hosts.add(
          Json.of(
              "id",
              m.id,
              "endpoint",
              m.id + ":9",
              "hosttype",
              m.type,
              "glade",
              m.zone,
              "loaners",
              m.spot,
              "phase",
              nowMicros >= m.upMicros ? "running" : "booting"));
    }
    return new Answer(200, Json.of("hosts", hosts, "more", false));
  }

  private Answer rent(Map<String, Object> request) {
    String name = Json.text(request, "hire");
    List<String> hosts = answered.get(name);
    if (hosts == null) {
      hosts = new ArrayList<>();
      for (long i = Json.num(request, "number", 1); i > 0 && machines.size() < capacity; i--) {
        String id = String.format("vm-%06d", next++);
        machines.put(
            id,
            new Machine(
                id,
                Json.text(request, "hosttype"),
                Json.text(request, "glade"),
                Json.flag(request, "loaners"),
                nowMicros,
                nowMicros + bootMicros));
        hosts.add(id);
      }
      if (hosts.isEmpty()) {
        return new Answer(503, Json.of("error", "no capacity"));
      }
      changes++;
      answered.put(name, hosts);
    }
    return new Answer(200, Json.of("hosts", hosts));
  }
}
