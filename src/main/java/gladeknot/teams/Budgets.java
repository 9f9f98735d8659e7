package gladeknot.teams;

import gladeknot.http.Json;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobBook;
import gladeknot.ledger.Ledger;
import gladeknot.ledger.Ledger.Write;
import gladeknot.membership.Membership;
import gladeknot.placement.Recorder;
import gladeknot.placement.Slice;
import gladeknot.placement.SliceBook;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Team limits as budgets of the shards. Their sum never exceeds the limit; a shard's budget is made
 * smaller by that shard's owner alone, who knows what is used, and what it gives up goes to shards
 * whose work waits for it.
 */
public final class Budgets {
  private static final Logger LOG = LoggerFactory.getLogger(Budgets.class);
  private static final String KEYS = Ledger.ROOT + "team/";
  private static final long STEP_MICROS = 300_000;

  /** An amount of CPUs and GPUs, in thousandths. */
  public record Amount(long cpus, long gpus) {
    Amount minus(Amount o) {
      return new Amount(cpus - o.cpus, gpus - o.gpus);
    }

    Amount plus(Amount o) {
      return new Amount(cpus + o.cpus, gpus + o.gpus);
    }

    boolean covers(Amount o) {
      return cpus >= o.cpus && gpus >= o.gpus;
    }

    boolean positive() {
      return cpus > 0 || gpus > 0;
    }

    Amount atLeastZero() {
      return new Amount(Math.max(0, cpus), Math.max(0, gpus));
    }

    Amount min(Amount o) {
      return new Amount(Math.min(cpus, o.cpus), Math.min(gpus, o.gpus));
    }
  }

  private static final Amount NONE = new Amount(0, 0);

  private final Settings settings;
  private final Ledger ledger;
  private final Membership membership;
  private final JobBook jobs;
  private final SliceBook slices;
  private final Recorder recorder;
  private final Set<String> changing = new HashSet<>();
  private final Map<String, Amount> giving = new HashMap<>();
  private long nextMicros;

  public Budgets(
      Settings settings,
      Ledger ledger,
      Membership membership,
      JobBook jobs,
      SliceBook slices,
      Recorder recorder) {
    this.settings = settings;
    this.ledger = ledger;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.recorder = recorder;
  }

  private Amount budget(String team, int shard) {
    Ledger.Entry entry = ledger.get(KEYS + team);
    if (entry == null) {
      return NONE;
    }
    return new Amount(part(entry, "c", shard), part(entry, "g", shard));
  }

  private static long part(Ledger.Entry entry, String name, int shard) {
    return entry.data().get(name) instanceof List<?> list
            && shard < list.size()
            && list.get(shard) instanceof Number n
        ? n.longValue()
        : 0;
  }

  /** What a shard's tasks of a team take; every task that may still be on a machine counts. */
  public Amount usage(String team, int shard) {
    long cpus = 0;
    long gpus = 0;
    for (Slice s : slices.of(shard)) {
      if (team.equals(s.team())) {
        int live = s.live();
        cpus += s.cpus() * live;
        gpus += s.gpus() * live;
      }
    }
    return new Amount(cpus, gpus);
  }

  /** What a shard may still start for a team. */
  public Amount available(String team, int shard) {
    return budget(team, shard)
        .minus(usage(team, shard))
        .minus(giving.getOrDefault(team + "/" + shard, NONE));
  }

  public void tick(long now) {
    if (now < nextMicros || !ledger.loaded()) {
      return;
    }
    nextMicros = now + STEP_MICROS;
    for (Settings.Team team : settings.teams().values()) {
      if (changing.contains(team.name())) {
        continue;
      }
      if (ledger.get(KEYS + team.name()) == null) {
        create(team);
      } else {
        List.copyOf(membership.owned()).forEach(shard -> give(team, shard));
      }
    }
  }

  private void create(Settings.Team team) {
    int mine = membership.home();
    if (!membership.commitsFor(mine)) {
      return;
    }
    int n = membership.shards();
    List<Long> cpus = new ArrayList<>();
    List<Long> gpus = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      cpus.add(team.cpusMax() * (i + 1) / n - team.cpusMax() * i / n);
      gpus.add(team.gpusMax() * (i + 1) / n - team.gpusMax() * i / n);
    }
    change(team.name(), mine, Json.of("c", cpus, "g", gpus), NONE);
  }

  private void change(String team, int shard, Map<String, Object> data, Amount given) {
    changing.add(team);
    String key = KEYS + team;
    giving.put(team + "/" + shard, given);
    recorder.add(
        new Recorder.Extra(
            shard,
            Write.put(key, data),
            Map.of(key, ledger.stamp(key)),
            done -> {
              changing.remove(team);
              giving.remove(team + "/" + shard);
            }));
  }

  /** What the waiting tasks of a shard would take beyond what it may start. */
  private Amount wanted(String team, int shard) {
    Amount sum = NONE;
    for (Slice s : slices.of(shard)) {
      if (team.equals(s.team()) && jobs.active(s.job()) != null) {
        long todo = s.todoCount();
        sum = sum.plus(new Amount(s.cpus() * todo, s.gpus() * todo));
      }
    }
    return sum;
  }

  /** The least that would let some waiting work of a shard start; null if nothing waits. */
  private Amount unit(String team, int shard) {
    Amount least = null;
    for (Slice s : slices.of(shard)) {
      Job job = jobs.active(s.job());
      if (job == null || !team.equals(s.team()) || s.todoCount() == 0) {
        continue;
      }
      long n = job.spec().whole() ? s.todoCount() : 1;
      Amount a = new Amount(s.cpus() * n, s.gpus() * n);
      if (least == null || a.cpus() < least.cpus()) {
        least = a;
      }
    }
    return least;
  }

  private void give(Settings.Team team, int shard) {
    if (!membership.commitsFor(shard)) {
      return;
    }
    String name = team.name();
    Amount free = available(name, shard).atLeastZero();
    if (!free.positive()) {
      return;
    }
    Amount mine = unit(name, shard);
    Amount spare = free.minus(wanted(name, shard)).atLeastZero();
    boolean stuck = mine != null && !free.covers(mine);
    for (int other = 0; other < membership.shards(); other++) {
      if (other == shard) {
        continue;
      }
      Amount unit = unit(name, other);
      if (unit == null) {
        continue;
      }
      Amount has = budget(name, other).minus(usage(name, other));
      Amount lacks = wanted(name, other).minus(has).atLeastZero();
      if (!lacks.positive()) {
        continue;
      }
      // A rest that is too small for work of one's own goes to lower numbers, never in circles.
      Amount from = stuck && other < shard ? free : spare;
      Amount given = from.min(lacks);
      if (!given.positive()) {
        continue;
      }
      LOG.info("team {}: shard {} gives {} to shard {}", name, shard, given, other);
      List<Long> cpus = new ArrayList<>();
      List<Long> gpus = new ArrayList<>();
      for (int i = 0; i < membership.shards(); i++) {
        Amount b = budget(name, i);
        Amount change = i == shard ? NONE.minus(given) : i == other ? given : NONE;
        cpus.add(b.cpus() + change.cpus());
        gpus.add(b.gpus() + change.gpus());
      }
      change(name, shard, Json.of("c", cpus, "g", gpus), given);
      return;
    }
  }
}
