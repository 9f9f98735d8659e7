package gladeknot.teams;

import gladeknot.connectivity.OrderKind;
import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.membership.Membership;
import gladeknot.peer.PeerMessage;
import gladeknot.placement.RecordWriter;
import gladeknot.placement.Slice;
import gladeknot.placement.SliceRegistry;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.state.StateStore.Write;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Team limits as budgets of the shards. Their sum never exceeds the limit; a shard's budget is made
 * smaller by that shard's owner alone, who knows what is used, and what it gives up goes to shards
 * whose work waits for it.
 */
public final class Budgets {
  private static final Logger LOG = LoggerFactory.getLogger(Budgets.class);
  private static final String KEYS = StateStore.ROOT + "team/";
  private static final long STEP_MICROS = 150_000;

  /** Between two changes of one team's budgets: what came of the first must be seen before. */
  private static final long REST_MICROS = 700_000;

  private static final long GIVE_STEP_MICROS = 250_000;
  private static final long TELL_MICROS = 1_000_000;
  private static final long HINT_MICROS = 3_000_000;

  /** An amount of CPUs and GPUs, in thousandths. */
  public record Amount(long cpus, long gpus) {
    Amount minus(Amount o) {
      return new Amount(cpus - o.cpus, gpus - o.gpus);
    }

    Amount plus(Amount o) {
      return new Amount(cpus + o.cpus, gpus + o.gpus);
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

  /** A shard's budget of what its team has no limit of; the sum over all shards fits a long. */
  private static final long UNLIMITED = Long.MAX_VALUE >> 20;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final RecordWriter recordWriter;
  private final Outbox outbox;
  private final Set<String> changing = new HashSet<>();
  private final Map<String, Amount> giving = new HashMap<>();
  private final Map<Integer, Map<String, Amount>> lacking = new HashMap<>();
  private final Map<Integer, Map<String, Amount>> told = new HashMap<>();
  private final Map<String, Amount> reserved = new HashMap<>();
  private final Map<Integer, Long> hintedMicros = new HashMap<>();
  private final Map<String, Long> restUntilMicros = new HashMap<>();
  private final Map<String, Long> lackSince = new HashMap<>();
  private long tellAgainMicros;
  private long nextMicros;
  private long nowMicros;

  /** Budgets as the copy shows them. */
  public Budgets(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      SliceRegistry slices,
      RecordWriter recordWriter,
      Outbox outbox) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
    this.recordWriter = recordWriter;
    this.outbox = outbox;
  }

  /** What a shard may use for a team: its committed part of each limit that there is. */
  private Amount budget(String team, int shard) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return NONE;
    }
    Amount committed = committed(team, shard);
    return new Amount(
        limits.limitsCpus() ? committed.cpus() : UNLIMITED,
        limits.limitsGpus() ? committed.gpus() : UNLIMITED);
  }

  private Amount committed(String team, int shard) {
    StateStore.Entry entry = stateStore.get(KEYS + team);
    if (entry == null) {
      return NONE;
    }
    return new Amount(part(entry, "c", shard), part(entry, "g", shard));
  }

  private static long part(StateStore.Entry entry, String name, int shard) {
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

  /** What a team may still start over all shards. */
  public Amount openAnywhere(String team) {
    Amount sum = NONE;
    for (int shard = 0; shard < membership.shards(); shard++) {
      sum = sum.plus(budget(team, shard).minus(usage(team, shard)));
    }
    return sum.atLeastZero();
  }

  /** Moves budget between shards when it is time. */
  public void tick(long now) {
    nowMicros = now;
    if (now < nextMicros || !stateStore.loaded()) {
      return;
    }
    nextMicros = now + STEP_MICROS;
    for (int shard : membership.owned()) {
      tell(shard);
    }
    for (Settings.Team team : settings.teams().values()) {
      if (changing.contains(team.name()) || now < restUntilMicros.getOrDefault(team.name(), 0L)) {
        continue;
      }
      if (stateStore.get(KEYS + team.name()) == null) {
        create(team);
      } else {
        List.copyOf(membership.owned()).forEach(shard -> give(team, shard));
      }
    }
  }

  /** The part of an amount that budgets are kept of; the rest is not limited. */
  private static Amount limited(Settings.Team team, Amount amount) {
    return new Amount(team.limitsCpus() ? amount.cpus() : 0, team.limitsGpus() ? amount.gpus() : 0);
  }

  private void create(Settings.Team team) {
    int mine = membership.home();
    if (!membership.permits(OrderKind.CHANGE_BUDGET, mine)) {
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
    recordWriter.add(
        new RecordWriter.KeyChange(
            shard,
            Write.put(key, data),
            Map.of(key, stateStore.stamp(key)),
            done -> {
              changing.remove(team);
              restUntilMicros.put(team, nowMicros + REST_MICROS);
              giving.remove(team + "/" + shard);
            }));
  }

  /** What a pass found that a shard's budget of a team lacks for tasks that it has room for. */
  public void lacks(String team, int shard, Amount amount) {
    lacking.computeIfAbsent(shard, k -> new TreeMap<>()).merge(team, amount, Amount::plus);
  }

  /** What a pass keeps room for: it will be started when others have stopped. */
  public void reserve(String team, int shard, Amount amount) {
    reserved.merge(team + "/" + shard, amount, Amount::plus);
  }

  /** A new pass over a shard begins. */
  public void clear(int shard) {
    lacking.remove(shard);
    reserved.keySet().removeIf(k -> k.endsWith("/" + shard));
  }

  /** Takes in what another controller lacks. */
  public void message(PeerMessage message) {
    if (message.shard() >= membership.shards()
        || message.term() != membership.term(message.shard())
        || membership.owned().contains(message.shard())) {
      return;
    }
    Map<String, Amount> map = new TreeMap<>();
    message.shorts().forEach(s -> map.put(s.team(), new Amount(s.cpus(), s.gpus())));
    lacking.put(message.shard(), map);
    hintedMicros.put(message.shard(), nowMicros);
    nextMicros = 0;
  }

  private void tell(int shard) {
    Map<String, Amount> map = lacking.getOrDefault(shard, Map.of());
    if (map.equals(told.get(shard)) && (map.isEmpty() || nowMicros < tellAgainMicros)) {
      return;
    }
    tellAgainMicros = nowMicros + TELL_MICROS;
    told.put(shard, Map.copyOf(map));
    List<PeerMessage.Short> shorts = new ArrayList<>();
    map.forEach((team, a) -> shorts.add(new PeerMessage.Short(team, a.cpus(), a.gpus())));
    outbox.message(PeerMessage.ofShorts(settings.node(), shard, membership.term(shard), shorts));
  }

  private void give(Settings.Team team, int shard) {
    if (!membership.permits(OrderKind.CHANGE_BUDGET, shard)) {
      return;
    }
    String name = team.name();
    Amount free = available(name, shard).minus(reserved.getOrDefault(name + "/" + shard, NONE));
    Amount spare = free.minus(lacking.getOrDefault(shard, Map.of()).getOrDefault(name, NONE));
    Amount rest = spare.atLeastZero();
    for (int other = 0; other < membership.shards(); other++) {
      boolean ours = membership.owned().contains(other);
      boolean heard = nowMicros - hintedMicros.getOrDefault(other, 0L) < HINT_MICROS;
      if (other == shard || (!ours && !heard)) {
        continue;
      }
      Amount lacks = lacking.getOrDefault(other, Map.of()).getOrDefault(name, NONE);
      if (!lacks.positive()) {
        lackSince.remove(name + "/" + other);
        continue;
      }
      // One after the other: all that give at once would conflict over the one key.
      long since = lackSince.computeIfAbsent(name + "/" + other, k -> nowMicros);
      int place = Math.floorMod(shard - other - 1, membership.shards());
      if (nowMicros - since < place * GIVE_STEP_MICROS) {
        continue;
      }
      // A rest too small for any of one's own tasks goes to lower numbers, never in circles.
      boolean stuck = lacking.getOrDefault(shard, Map.of()).containsKey(name) && other < shard;
      Amount given = limited(team, (stuck ? free.atLeastZero() : rest).min(lacks));
      if (!given.positive()) {
        continue;
      }
      LOG.info("team {}: shard {} gives {} to shard {}", name, shard, given, other);
      List<Long> cpus = new ArrayList<>();
      List<Long> gpus = new ArrayList<>();
      for (int i = 0; i < membership.shards(); i++) {
        Amount b = committed(name, i);
        Amount change = i == shard ? NONE.minus(given) : i == other ? given : NONE;
        cpus.add(b.cpus() + change.cpus());
        gpus.add(b.gpus() + change.gpus());
      }
      lacking.get(other).remove(name);
      change(name, shard, Json.of("c", cpus, "g", gpus), given);
      return;
    }
  }
}
