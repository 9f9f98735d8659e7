package gladeknot.fleet;

import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.jobs.JobSpec;
import gladeknot.ledger.Ledger;
import gladeknot.ledger.Ledger.Write;
import gladeknot.ledger.Tokens;
import gladeknot.membership.Membership;
import gladeknot.placement.Placer;
import gladeknot.placement.Recorder;
import gladeknot.placement.Scheduler;
import gladeknot.settings.Settings;
import gladeknot.workers.Report;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerBook;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for what waits, gives back what is idle or broken, adopts what nobody expects. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final long CALL_MICROS = 8_000_000;
  private static final long TYPES_MICROS = 60_000_000;
  private static final long STEP_MICROS = 500_000;
  private static final long LIST_MICROS = 20_000_000;
  private static final int MOST_AT_ONCE = 10;

  private record Offer(MachineType type, String zone, boolean spot) {
    String name() {
      return type.name() + "/" + zone + "/" + (spot ? "spot" : "ordinary");
    }
  }

  private static final class Backoff {
    private long untilMicros;
    private int times;
  }

  /** A rental on its way: its machines count as coming until its answer is known. */
  private static final class Rental {
    private final String name;
    private final Offer offer;
    private final int number;
    private final int shard;
    private int tries;

    private Rental(String name, Offer offer, int number, int shard) {
      this.name = name;
      this.offer = offer;
      this.number = number;
      this.shard = shard;
    }
  }

  private final Settings settings;
  private final Ledger ledger;
  private final Membership membership;
  private final WorkerBook workers;
  private final Recorder recorder;
  private final Scheduler scheduler;
  private final Outbox outbox;
  private final Tokens tokens;
  private Placer placer;
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private final List<Rental> rentals = new ArrayList<>();
  private final Set<String> adopting = new HashSet<>();
  private final Map<String, Long> strangers = new HashMap<>();
  private final Set<String> releases = new HashSet<>();
  private boolean askingTypes;
  private long nextTypesMicros;
  private long nextStepMicros;
  private long nextListMicros;
  private boolean listing;
  private long rentalCount;
  private long nowMicros;
  private long wallMicros;

  public Fleet(
      Settings settings,
      Ledger ledger,
      Membership membership,
      WorkerBook workers,
      Recorder recorder,
      Scheduler scheduler,
      Outbox outbox) {
    this.settings = settings;
    this.ledger = ledger;
    this.membership = membership;
    this.workers = workers;
    this.recorder = recorder;
    this.scheduler = scheduler;
    this.outbox = outbox;
    double rps = settings.cloudLimits().rps() / settings.nodes().size();
    this.tokens = new Tokens(rps * 0.9, rps * 1.8);
  }

  public void setPlacer(Placer placer) {
    this.placer = placer;
  }

  public MachineType type(String name) {
    return types.get(name);
  }

  public boolean typesKnown() {
    return !types.isEmpty();
  }

  public boolean fitsSomeType(JobSpec spec) {
    return types.values().stream()
        .anyMatch(
            t ->
                t.fits(spec) > 0
                    && (spec.types() == null || spec.types().contains(t.name()))
                    && (spec.zone() == null || t.zones().contains(spec.zone())));
  }

  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (!askingTypes && now >= nextTypesMicros) {
      askTypes();
    }
    if (now < nextStepMicros || !ledger.loaded() || types.isEmpty()) {
      return;
    }
    nextStepMicros = now + STEP_MICROS;
    for (int shard : List.copyOf(membership.owned())) {
      if (membership.commitsFor(shard)) {
        rent(shard);
        giveBack(shard);
      }
    }
    if (!listing && now >= nextListMicros && membership.entitled()) {
      nextListMicros = now + LIST_MICROS;
      list("");
    }
  }

  private void askTypes() {
    if (!tokens.take(1, 0, nowMicros)) {
      return;
    }
    askingTypes = true;
    outbox.call(
        settings.cloud(),
        "GET",
        "/machine_types",
        null,
        3_000_000,
        reply -> {
          askingTypes = false;
          if (reply.status() != 200) {
            nextTypesMicros = nowMicros + 1_000_000;
            return;
          }
          nextTypesMicros = nowMicros + TYPES_MICROS;
          boolean first = types.isEmpty();
          types.clear();
          for (Map<String, Object> m : Json.objects(reply.object(), "hosttypes")) {
            MachineType type = MachineType.read(m);
            types.put(type.name(), type);
          }
          if (first) {
            LOG.info("machine types: {}", types.values());
          }
          scheduler.touch();
        });
  }

  /** Rents for what found no room and will not find it on machines that are coming. */
  private void rent(int shard) {
    List<Coming> coming = new ArrayList<>();
    for (Worker w : workers.of(shard)) {
      MachineType type = types.get(w.type());
      if (type != null && w.report() == null && !w.leaving() && w.attempts().isEmpty()) {
        coming.add(new Coming(type, w.zone(), w.spot()));
      }
    }
    for (Rental r : rentals) {
      for (int i = 0; i < r.number && r.shard == shard; i++) {
        coming.add(new Coming(r.offer.type, r.offer.zone, r.offer.spot));
      }
    }
    Map<Offer, Integer> wanted = new LinkedHashMap<>();
    for (Placer.Need need : placer.needs(shard)) {
      JobSpec spec = need.job().spec();
      int rest = need.count();
      for (Coming c : coming) {
        while (rest > 0 && c.take(spec)) {
          rest--;
        }
      }
      while (rest > 0) {
        Offer offer = choose(spec, rest, wanted);
        if (offer == null) {
          break;
        }
        wanted.merge(offer, 1, Integer::sum);
        Coming c = new Coming(offer.type, offer.zone, offer.spot);
        coming.add(c);
        int before = rest;
        while (rest > 0 && c.take(spec)) {
          rest--;
        }
        if (rest == before) {
          break;
        }
      }
    }
    wanted.forEach((offer, number) -> hire(offer, number, shard));
  }

  /** A machine that is not up yet, and what is left of it in thought. */
  private static final class Coming {
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private long cpus;
    private long gpus;
    private long memory;

    private Coming(MachineType type, String zone, boolean spot) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.cpus = type.cpus();
      this.gpus = type.gpus();
      this.memory = type.memory();
    }

    private boolean take(JobSpec spec) {
      if (!spec.allows(type.name(), zone, spot)
          || cpus < spec.cpus()
          || gpus < spec.gpus()
          || memory < spec.memory()) {
        return false;
      }
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      memory -= spec.memory();
      return true;
    }
  }

  /** The cheapest offer for so many tasks, weighing in how long it takes to come up. */
  private Offer choose(JobSpec spec, int count, Map<Offer, Integer> wanted) {
    Offer best = null;
    double bestScore = 0;
    for (MachineType type : types.values()) {
      int fits = type.fits(spec);
      if (fits == 0 || (spec.gpus() == 0 && type.gpus() > 0)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type, zone, spot);
          Backoff off = backoffs.get(offer.name());
          if (!spec.allows(type.name(), zone, spot)
              || (off != null && nowMicros < off.untilMicros)
              || wanted.getOrDefault(offer, 0) >= MOST_AT_ONCE) {
            continue;
          }
          double perTask = type.price(spot) / Math.min(fits, count);
          double score = perTask * (1 + type.readyMicros() / 60e6);
          // Both zones get machines where tasks are to be spread.
          if (spec.scatter()) {
            score *= 1 + 0.05 * machinesIn(zone);
          }
          if (best == null || score < bestScore) {
            best = offer;
            bestScore = score;
          }
        }
      }
    }
    return best;
  }

  private long machinesIn(String zone) {
    return workers.all().stream().filter(w -> zone.equals(w.zone())).count();
  }

  private void hire(Offer offer, int number, int shard) {
    // Names never repeat: a lease's number belongs to one life of one controller.
    String name = settings.node() + "-" + membership.incarnation() + "-" + (++rentalCount);
    Rental rental = new Rental(name, offer, Math.min(number, MOST_AT_ONCE), shard);
    rentals.add(rental);
    send(rental);
  }

  private void send(Rental r) {
    if (!tokens.take(1, 0, nowMicros)) {
      rentals.remove(r);
      return;
    }
    r.tries++;
    LOG.info("rent {} {} for shard {}: {}", r.number, r.offer.name(), r.shard, r.name);
    outbox.call(
        settings.cloud(),
        "POST",
        "/rentals",
        Json.of(
            "hire", r.name,
            "hosttype", r.offer.type.name(),
            "glade", r.offer.zone,
            "loaners", r.offer.spot,
            "number", r.number),
        CALL_MICROS,
        reply -> hired(r, reply));
  }

  private void hired(Rental r, Outbox.Reply reply) {
    if (reply.status() == 0 && r.tries < 4) {
      // Perhaps rented: the same name brings the same machines and rents nothing more.
      tokens.force(1, nowMicros);
      r.tries++;
      outbox.call(
          settings.cloud(),
          "POST",
          "/rentals",
          Json.of(
              "hire", r.name,
              "hosttype", r.offer.type.name(),
              "glade", r.offer.zone,
              "loaners", r.offer.spot,
              "number", r.number),
          CALL_MICROS,
          again -> hired(r, again));
      return;
    }
    rentals.remove(r);
    List<String> hosts = Json.texts(reply.object(), "hosts");
    if (reply.status() != 200 || hosts.size() < r.number) {
      Backoff off = backoffs.computeIfAbsent(r.offer.name(), n -> new Backoff());
      boolean none = reply.status() == 503 && !"trouble".equals(Json.text(reply.object(), "error"));
      off.times = none ? Math.min(off.times + 1, 4) : 1;
      off.untilMicros = nowMicros + (none ? 5_000_000L << Math.min(off.times, 2) : 3_000_000);
      LOG.info("rent {}: {} with {} of {}", r.name, reply.status(), hosts.size(), r.number);
    } else {
      backoffs.remove(r.offer.name());
    }
    for (String host : hosts) {
      enter(host, r.shard, r.offer.type.name(), r.offer.zone, r.offer.spot);
    }
  }

  private void enter(String host, int shard, String type, String zone, boolean spot) {
    if (!adopting.add(host)) {
      return;
    }
    String key = Worker.key(host);
    recorder.add(
        new Recorder.Extra(
            shard,
            Write.put(key, Worker.record(shard, type, zone, spot, wallMicros, false)),
            Map.of(key, 0L),
            done -> {
              adopting.remove(host);
              scheduler.touch();
            }));
  }

  /** A machine that reports and that nobody has entered. */
  public void adopt(Report report) {
    int shard = membership.home();
    if (membership.commitsFor(shard) && !releases.contains(report.host())) {
      LOG.info("adopt {} for shard {}", report.host(), shard);
      enter(report.host(), shard, report.type(), report.zone(), report.spot());
    }
  }

  /** Gives back what is idle, broken or never came up. */
  private void giveBack(int shard) {
    long silent = settings.workers().leaseMicros() * 3;
    for (Worker w : workers.of(shard)) {
      if (w.releasing) {
        continue;
      }
      MachineType type = types.get(w.type());
      long ready = type == null ? 60_000_000 : type.readyMicros();
      boolean busy = !w.attempts().isEmpty();
      String why = null;
      if (w.leaving()) {
        why = "marked for it";
      } else if (w.report() == null) {
        long age = Math.max(0, wallMicros - w.rentedWallMicros());
        long here = nowMicros - membership.sinceMicros(shard);
        if (age > 4 * ready + 30_000_000 && here > silent) {
          why = "never came up";
        }
      } else if (nowMicros - w.reportMicros() > silent) {
        why = "silent";
      } else if (w.errors >= 4 && !busy) {
        why = "fails tasks";
      } else if (!busy && w.report().tasks().isEmpty()) {
        if (w.idleSinceMicros == 0) {
          w.idleSinceMicros = nowMicros;
        }
        if (nowMicros - w.idleSinceMicros > 45_000_000) {
          why = "idle";
        }
      } else {
        w.idleSinceMicros = 0;
      }
      if (why != null) {
        release(w, why);
      }
    }
  }

  private void release(Worker w, String why) {
    w.releasing = true;
    int shard = w.shard();
    LOG.info("release {} of shard {}: {}", w.host(), shard, why);
    if (w.leaving()) {
      sendRelease(w.host(), shard);
      return;
    }
    String key = Worker.key(w.host());
    recorder.add(
        new Recorder.Extra(
            shard,
            Write.put(key, w.record(shard, true)),
            Map.of(key, w.stamp()),
            done -> {
              if (done) {
                sendRelease(w.host(), shard);
              } else {
                w.releasing = false;
              }
            }));
  }

  private void sendRelease(String host, int shard) {
    if (!tokens.take(1, 0, nowMicros)) {
      Worker w = workers.get(host);
      if (w != null) {
        w.releasing = false;
      }
      return;
    }
    releases.add(host);
    outbox.call(
        settings.cloud(),
        "POST",
        "/rentals/release",
        Json.of("hosts", List.of(host)),
        CALL_MICROS,
        reply -> {
          if (reply.status() != 200) {
            Worker w = workers.get(host);
            if (w != null) {
              w.releasing = false;
            }
            return;
          }
          scheduler.machineGone(host, "machine released");
          String key = Worker.key(host);
          recorder.add(
              new Recorder.Extra(
                  shard, Write.delete(key), Map.of(key, ledger.stamp(key)), done -> {}));
        });
  }

  /** Reads the cloud's list for machines that nobody has entered and for failed ones. */
  private void list(String from) {
    if (!tokens.take(1, 1, nowMicros)) {
      return;
    }
    listing = true;
    String after = from.isEmpty() ? "" : "from=" + from + "&";
    outbox.call(
        settings.cloud(),
        "GET",
        "/rentals?" + after + "most=500",
        null,
        CALL_MICROS,
        reply -> {
          listing = false;
          if (reply.status() != 200) {
            return;
          }
          String last = from;
          for (Map<String, Object> m : Json.objects(reply.object(), "hosts")) {
            last = Json.text(m, "id");
            listed(m);
          }
          if (Json.flag(reply.object(), "more")) {
            list(last);
          } else {
            strangers.values().removeIf(at -> nowMicros - at > 6 * LIST_MICROS);
          }
        });
  }

  private void listed(Map<String, Object> m) {
    String host = Json.text(m, "id");
    Worker w = workers.get(host);
    if (w != null && w.stamp() != 0) {
      strangers.remove(host);
      boolean failed = "failed".equals(Json.text(m, "phase"));
      if (failed && !w.releasing && membership.commitsFor(w.shard())) {
        release(w, "failed");
      }
      return;
    }
    // Lists lag: what was just rented or just released looks the same as an orphan for a while.
    long since = strangers.computeIfAbsent(host, h -> nowMicros);
    int shard = membership.home();
    if (nowMicros - since > 4 * settings.cloudLimits().listLagMicros() + LIST_MICROS
        && Math.floorMod(host.hashCode(), membership.shards()) == shard
        && membership.commitsFor(shard)) {
      LOG.info("adopt {} for shard {}: listed, and nobody has entered it", host, shard);
      enter(host, shard, Json.text(m, "hosttype"), Json.text(m, "glade"), Json.flag(m, "loaners"));
    }
  }
}
