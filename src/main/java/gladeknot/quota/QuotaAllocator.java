package gladeknot.quota;

import gladeknot.commit.KeyMutation;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.json.Json;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
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
public final class QuotaAllocator {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaAllocator.class);
  private static final String KEYS = StateStore.ROOT + "team/";
  private static final long STEP_MICROS = 150_000;

  /** Between two changes of one team's budgets: what came of the first must be seen before. */
  private static final long REST_MICROS = 700_000;

  private static final long GIVE_STEP_MICROS = 250_000;
  private static final long TELL_MICROS = 1_000_000;
  private static final long HINT_MICROS = 3_000_000;

  /** An amount of CPUs and GPUs, in thousandths. */
  public record ResourceAmount(long cpus, long gpus) {
    ResourceAmount minus(ResourceAmount o) {
      return new ResourceAmount(cpus - o.cpus, gpus - o.gpus);
    }

    ResourceAmount plus(ResourceAmount o) {
      return new ResourceAmount(cpus + o.cpus, gpus + o.gpus);
    }

    boolean positive() {
      return cpus > 0 || gpus > 0;
    }

    ResourceAmount atLeastZero() {
      return new ResourceAmount(Math.max(0, cpus), Math.max(0, gpus));
    }

    ResourceAmount min(ResourceAmount o) {
      return new ResourceAmount(Math.min(cpus, o.cpus), Math.min(gpus, o.gpus));
    }
  }

  private static final ResourceAmount NONE = new ResourceAmount(0, 0);

  /** A shard's budget of what its team has no limit of; the sum over all shards fits a long. */
  private static final long UNLIMITED = Long.MAX_VALUE >> 20;

  private final Settings settings;
  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final TransactionCommitter recordWriter;
  private final Outbox outbox;
  private final Set<String> changing = new HashSet<>();
  private final Map<String, ResourceAmount> giving = new HashMap<>();
  private final Map<Integer, Map<String, ResourceAmount>> lacking = new HashMap<>();
  private final Map<Integer, Map<String, ResourceAmount>> told = new HashMap<>();
  private final Map<String, ResourceAmount> reserved = new HashMap<>();
  private final Map<Integer, Long> hintedMicros = new HashMap<>();
  private final Map<String, Long> restUntilMicros = new HashMap<>();
  private final Map<String, Long> lackSince = new HashMap<>();
  private long tellAgainMicros;
  private long nextMicros;
  private long nowMicros;

  /** Budgets as the copy shows them. */
  public QuotaAllocator(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      SliceRegistry slices,
      TransactionCommitter recordWriter,
      Outbox outbox) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
    this.recordWriter = recordWriter;
    this.outbox = outbox;
  }

  /** What a shard may use for a team: its committed part of each limit that there is. */
  private ResourceAmount budget(String team, int shard) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return NONE;
    }
    ResourceAmount committed = committed(team, shard);
    return new ResourceAmount(
        limits.limitsCpus() ? committed.cpus() : UNLIMITED,
        limits.limitsGpus() ? committed.gpus() : UNLIMITED);
  }

  private ResourceAmount committed(String team, int shard) {
    Entry entry = stateStore.get(KEYS + team);
    if (entry == null) {
      return NONE;
    }
    return new ResourceAmount(part(entry, "c", shard), part(entry, "g", shard));
  }

  private static long part(Entry entry, String name, int shard) {
    return entry.data().get(name) instanceof List<?> list
            && shard < list.size()
            && list.get(shard) instanceof Number n
        ? n.longValue()
        : 0;
  }

  /** What a shard's tasks of a team take; every task that may still be on a machine counts. */
  public ResourceAmount usage(String team, int shard) {
    long cpus = 0;
    long gpus = 0;
    for (Slice s : slices.inShard(shard)) {
      if (team.equals(s.team())) {
        int live = s.liveCount();
        cpus += s.cpus() * live;
        gpus += s.gpus() * live;
      }
    }
    return new ResourceAmount(cpus, gpus);
  }

  /** What a shard may still start for a team. */
  public ResourceAmount available(String team, int shard) {
    return budget(team, shard)
        .minus(usage(team, shard))
        .minus(giving.getOrDefault(team + "/" + shard, NONE));
  }

  /** What a team may still start over all shards. */
  public ResourceAmount clusterHeadroom(String team) {
    ResourceAmount sum = NONE;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
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
    for (int shard : membership.ownedShards()) {
      tell(shard);
    }
    for (Settings.Team team : settings.teams().values()) {
      if (changing.contains(team.name()) || now < restUntilMicros.getOrDefault(team.name(), 0L)) {
        continue;
      }
      if (stateStore.get(KEYS + team.name()) == null) {
        create(team);
      } else {
        List.copyOf(membership.ownedShards()).forEach(shard -> give(team, shard));
      }
    }
  }

  /** The part of an amount that budgets are kept of; the rest is not limited. */
  private static ResourceAmount limited(Settings.Team team, ResourceAmount amount) {
    return new ResourceAmount(
        team.limitsCpus() ? amount.cpus() : 0, team.limitsGpus() ? amount.gpus() : 0);
  }

  private void create(Settings.Team team) {
    int mine = membership.homeShard();
    if (!membership.permits(ControlAction.CHANGE_QUOTA, mine)) {
      return;
    }
    int n = membership.shardCount();
    List<Long> cpus = new ArrayList<>();
    List<Long> gpus = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      cpus.add(team.cpusMax() * (i + 1) / n - team.cpusMax() * i / n);
      gpus.add(team.gpusMax() * (i + 1) / n - team.gpusMax() * i / n);
    }
    change(team.name(), mine, Json.of("c", cpus, "g", gpus), NONE);
  }

  private void change(String team, int shard, Map<String, Object> data, ResourceAmount given) {
    changing.add(team);
    String key = KEYS + team;
    giving.put(team + "/" + shard, given);
    recordWriter.submit(
        new KeyMutation(
            shard,
            Mutation.put(key, data),
            Map.of(key, stateStore.modRevision(key)),
            done -> {
              changing.remove(team);
              restUntilMicros.put(team, nowMicros + REST_MICROS);
              giving.remove(team + "/" + shard);
            }));
  }

  /** What a pass found that a shard's budget of a team lacks for tasks that it has room for. */
  public void reportDeficit(String team, int shard, ResourceAmount amount) {
    lacking.computeIfAbsent(shard, k -> new TreeMap<>()).merge(team, amount, ResourceAmount::plus);
  }

  /** What a pass keeps room for: it will be started when others have stopped. */
  public void reserve(String team, int shard, ResourceAmount amount) {
    reserved.merge(team + "/" + shard, amount, ResourceAmount::plus);
  }

  /** A new pass over a shard begins. */
  public void beginPass(int shard) {
    lacking.remove(shard);
    reserved.keySet().removeIf(k -> k.endsWith("/" + shard));
  }

  /** Takes in what another controller lacks. */
  public void onPeerMessage(PeerMessage message) {
    if (message.shard() >= membership.shardCount()
        || message.term() != membership.term(message.shard())
        || membership.ownedShards().contains(message.shard())) {
      return;
    }
    Map<String, ResourceAmount> map = new TreeMap<>();
    message.deficits().forEach(s -> map.put(s.team(), new ResourceAmount(s.cpus(), s.gpus())));
    lacking.put(message.shard(), map);
    hintedMicros.put(message.shard(), nowMicros);
    nextMicros = 0;
  }

  private void tell(int shard) {
    Map<String, ResourceAmount> map = lacking.getOrDefault(shard, Map.of());
    if (map.equals(told.get(shard)) && (map.isEmpty() || nowMicros < tellAgainMicros)) {
      return;
    }
    tellAgainMicros = nowMicros + TELL_MICROS;
    told.put(shard, Map.copyOf(map));
    List<PeerMessage.QuotaDeficit> shorts = new ArrayList<>();
    map.forEach((team, a) -> shorts.add(new PeerMessage.QuotaDeficit(team, a.cpus(), a.gpus())));
    outbox.sendToPeers(
        PeerMessage.ofDeficits(settings.node(), shard, membership.term(shard), shorts));
  }

  private void give(Settings.Team team, int shard) {
    if (!membership.permits(ControlAction.CHANGE_QUOTA, shard)) {
      return;
    }
    String name = team.name();
    ResourceAmount free =
        available(name, shard).minus(reserved.getOrDefault(name + "/" + shard, NONE));
    ResourceAmount spare =
        free.minus(lacking.getOrDefault(shard, Map.of()).getOrDefault(name, NONE));
    ResourceAmount rest = spare.atLeastZero();
    for (int other = 0; other < membership.shardCount(); other++) {
      boolean ours = membership.ownedShards().contains(other);
      boolean heard = nowMicros - hintedMicros.getOrDefault(other, 0L) < HINT_MICROS;
      if (other == shard || (!ours && !heard)) {
        continue;
      }
      ResourceAmount lacks = lacking.getOrDefault(other, Map.of()).getOrDefault(name, NONE);
      if (!lacks.positive()) {
        lackSince.remove(name + "/" + other);
        continue;
      }
      // One after the other: all that give at once would conflict over the one key.
      long since = lackSince.computeIfAbsent(name + "/" + other, k -> nowMicros);
      int place = Math.floorMod(shard - other - 1, membership.shardCount());
      if (nowMicros - since < place * GIVE_STEP_MICROS) {
        continue;
      }
      // A rest too small for any of one's own tasks goes to lower numbers, never in circles.
      boolean stuck = lacking.getOrDefault(shard, Map.of()).containsKey(name) && other < shard;
      ResourceAmount given = limited(team, (stuck ? free.atLeastZero() : rest).min(lacks));
      if (!given.positive()) {
        continue;
      }
      LOG.info("team {}: shard {} gives {} to shard {}", name, shard, given, other);
      List<Long> cpus = new ArrayList<>();
      List<Long> gpus = new ArrayList<>();
      for (int i = 0; i < membership.shardCount(); i++) {
        ResourceAmount b = committed(name, i);
        ResourceAmount change = i == shard ? NONE.minus(given) : i == other ? given : NONE;
        cpus.add(b.cpus() + change.cpus());
        gpus.add(b.gpus() + change.gpus());
      }
      lacking.get(other).remove(name);
      change(name, shard, Json.of("c", cpus, "g", gpus), given);
      return;
    }
  }
}
