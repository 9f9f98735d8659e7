package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL-gladeknot.md: rents machines, each with a worker that boots on it. */
final class Cloud {
  /** A machine type with the number of ordinary and spot machines in each zone. */
  record Type(
      String label, double cores, double gpus, double memory, double price, double spotPrice,
      Map<String, int[]> capacity) {}

  record Machine(String id, Type type, String zone, boolean spot, long rentedNanos, Worker worker) {}

  private final Site site;
  private final List<Type> types;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> hires = new LinkedHashMap<>();
  private int count;
  double readyS = 2;

  Cloud(Site site, List<Type> types) {
    this.site = site;
    this.types = types;
  }

  synchronized List<Machine> machines() {
    return new ArrayList<>(machines.values());
  }

  synchronized Http.Reply serve(String method, String uri, String body) {
    if (uri.equals("/machine_types")) {
      List<Object> list = new ArrayList<>();
      for (Type t : types) {
        list.add(
            Json.of("label", t.label(), "cores", t.cores(), "accelerators", t.gpus(), "memoryGb",
                t.memory(), "cacheGb", 100.0, "fetchGbPerS", 5.0, "rate", t.price(), "marketPrice",
                t.spotPrice(), "readyS", readyS, "glades", new ArrayList<>(t.capacity().keySet())));
      }
      return reply(200, "hosttypes", list);
    }
    if (uri.equals("/rentals") && method.equals("POST")) {
      return rent(Json.object(body));
    }
    if (uri.equals("/rentals/release")) {
      for (Object host : (List<?>) Json.object(body).get("hosts")) {
        Machine machine = machines.remove(host);
        if (machine != null) {
          site.note("machine released " + host);
          machine.worker().off();
        }
      }
      return reply(200);
    }
    String from = "";
    int most = 500;
    for (String part : uri.substring(uri.indexOf('?') + 1).split("&")) {
      if (part.startsWith("from=")) {
        from = part.substring(5);
      } else if (part.startsWith("most=")) {
        most = Math.min(500, Integer.parseInt(part.substring(5)));
      }
    }
    List<Object> list = new ArrayList<>();
    boolean more = false;
    for (Machine m : machines.tailMap(from, false).values()) {
      if (list.size() >= most) {
        more = true;
        break;
      }
      list.add(
          Json.of("id", m.id(), "endpoint", m.worker().endpoint(), "hosttype", m.type().label(),
              "glade", m.zone(), "loaners", m.spot(), "phase", m.worker().isUp() ? "running" : "booting",
              "ageS", (System.nanoTime() - m.rentedNanos()) / 1e9));
    }
    return reply(200, "hosts", list, "more", more);
  }

  private static Http.Reply reply(int status, Object... pairs) {
    return new Http.Reply(status, Json.write(Json.of(pairs)));
  }

  private Http.Reply rent(Map<String, Object> request) {
    String hire = (String) request.get("hire");
    List<String> hosts = hires.get(hire);
    if (hosts == null) {
      String zone = (String) request.get("glade");
      boolean spot = Boolean.TRUE.equals(request.get("loaners"));
      Type type = null;
      for (Type t : types) {
        if (t.label().equals(request.get("hosttype"))) {
          type = t;
        }
      }
      long number = Json.number(request, "number", 0);
      if (type == null || number < 1 || number > 50 || !type.capacity().containsKey(zone)) {
        return reply(400, "error", "malformed");
      }
      int free = type.capacity().get(zone)[spot ? 1 : 0];
      for (Machine m : machines.values()) {
        if (m.type() == type && m.zone().equals(zone) && m.spot() == spot) {
          free--;
        }
      }
      if (free <= 0) {
        return reply(503, "error", "no capacity");
      }
      hosts = new ArrayList<>();
      for (int k = 0; k < Math.min(free, number); k++) {
        String id = String.format("vm-%06d", ++count);
        Worker worker = new Worker(site, id, type, zone, spot, (long) (readyS * 1000));
        machines.put(id, new Machine(id, type, zone, spot, System.nanoTime(), worker));
        hosts.add(id);
      }
      site.note("machines rented " + type.label() + " " + zone + (spot ? " spot " : " ") + hosts);
      hires.put(hire, hosts);
    }
    return reply(200, "hosts", hosts);
  }
}
