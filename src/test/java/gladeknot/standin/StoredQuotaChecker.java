package gladeknot.standin;

import gladeknot.json.FieldEscaper;
import gladeknot.json.ResourceUnits;
import gladeknot.settings.Settings;
import gladeknot.state.NamedKeys;
import gladeknot.tasks.RecordedAttempts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Checks the stored quota after each transaction: the attempts recorded in a shard use no more of a
 * team's limit than the shard's share, and the shares together do not exceed the limit. A recorded
 * attempt counts until its end is committed, because the owner of its shard may start it again
 * until then.
 */
final class StoredQuotaChecker implements FakeStateStore.ChangeListener {
  private static final NamedKeys TEAM_KEYS = new NamedKeys("team");
  private static final String SEGMENT_PREFIX = "g/sl/";
  private static final int TEAM_FIELD = 0;
  private static final int CPUS_FIELD = 1;
  private static final int GPUS_FIELD = 2;
  private static final int NAME_FORM_FIELD = 8;
  private static final int EXACT_AMOUNTS_FIELD = 9;

  private final TeamLimits limits;
  private final int shards;
  private final Consumer<String> violations;

  /** Resources that the attempts of each segment use, by segment and team. */
  private final Map<String, Map<String, ResourceUse>> usageBySegment = new TreeMap<>();

  private final Map<String, List<ResourceUse>> sharesByKey = new HashMap<>();
  private boolean changed;

  StoredQuotaChecker(TeamLimits limits, int shards, Consumer<String> violations) {
    this.limits = limits;
    this.shards = shards;
    this.violations = violations;
  }

  @Override
  public void changed(String key, Map<String, Object> value) {
    if (key.startsWith(SEGMENT_PREFIX)) {
      usageBySegment.put(key, value == null ? Map.of() : usage(value));
      changed = true;
    } else if (key.startsWith(TEAM_KEYS.commonPrefix()) && value != null) {
      sharesChanged(key, shares(value));
      changed = true;
    }
  }

  private static Map<String, ResourceUse> usage(Map<String, Object> segment) {
    Map<String, ResourceUse> usage = new HashMap<>();
    segment.forEach(
        (job, value) -> {
          String record = String.valueOf(value);
          String[] fields = record.split("\\|", -1);
          ResourceUse task = taskUse(fields);
          int attempts = RecordedAttempts.of(job, record).size();
          usage.merge(team(fields), task.times(attempts), ResourceUse::plus);
        });
    return usage;
  }

  private static ResourceUse taskUse(String[] fields) {
    if (fields.length > EXACT_AMOUNTS_FIELD && !fields[EXACT_AMOUNTS_FIELD].isEmpty()) {
      String[] exact = fields[EXACT_AMOUNTS_FIELD].split(",");
      return ResourceUse.ofProductUnits(Long.parseLong(exact[0]), Long.parseLong(exact[1]));
    }
    return ResourceUse.ofProductUnits(
        ResourceUnits.ofThousandths(Long.parseLong(fields[CPUS_FIELD])),
        ResourceUnits.ofThousandths(Long.parseLong(fields[GPUS_FIELD])));
  }

  private static String team(String[] fields) {
    boolean escaped = fields.length > NAME_FORM_FIELD && fields[NAME_FORM_FIELD].equals("e");
    return escaped ? FieldEscaper.unescape(fields[TEAM_FIELD]) : fields[TEAM_FIELD];
  }

  private List<ResourceUse> shares(Map<String, Object> record) {
    List<ResourceUse> shares = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      shares.add(
          ResourceUse.ofProductUnits(
              ResourceUnits.ofThousandths(amount(record, "c", shard)) + amount(record, "cr", shard),
              ResourceUnits.ofThousandths(amount(record, "g", shard))
                  + amount(record, "gr", shard)));
    }
    return shares;
  }

  private static long amount(Map<String, Object> record, String field, int shard) {
    return record.get(field) instanceof List<?> amounts
            && shard < amounts.size()
            && amounts.get(shard) instanceof Number amount
        ? Math.max(0, amount.longValue())
        : 0;
  }

  /**
   * Reports shares that add up to more than the team's limit. After a limit was lowered, the sum
   * may exceed it for a while but must decrease with each change.
   */
  private void sharesChanged(String key, List<ResourceUse> shares) {
    List<ResourceUse> before = sharesByKey.put(key, shares);
    ResourceUse sum = sum(shares);
    boolean decreased =
        before != null
            && sum.cpus() <= sum(before).cpus()
            && sum.gpus() <= sum(before).gpus()
            && !sum.equals(sum(before));
    for (Settings.Team team : limits.teams()) {
      boolean isOfTeam = TEAM_KEYS.key(team.name()).equals(key);
      if (isOfTeam && sum.exceeds(team) && !decreased) {
        violations.accept("quota: shares of " + team.name() + " add up to " + sum);
      }
    }
  }

  private static ResourceUse sum(List<ResourceUse> shares) {
    return shares.stream().reduce(ResourceUse.NONE, ResourceUse::plus);
  }

  @Override
  public void transactionCommitted() {
    if (!changed) {
      return;
    }
    changed = false;
    for (Settings.Team team : limits.teams()) {
      for (int shard = 0; shard < shards; shard++) {
        checkShare(team, shard);
      }
    }
  }

  private void checkShare(Settings.Team team, int shard) {
    ResourceUse used = recordedUsage(team.name(), shard);
    ResourceUse share = share(team.name(), shard);
    boolean exceeded =
        (team.limitsCpus() && used.cpus() > share.cpus())
            || (team.limitsGpus() && used.gpus() > share.gpus());
    if (exceeded) {
      violations.accept(
          "quota: records of shard "
              + shard
              + " use "
              + used
              + " of "
              + team.name()
              + "'s "
              + share);
    }
  }

  /** Returns the resources that the attempts recorded in a shard use for a team. */
  ResourceUse recordedUsage(String team, int shard) {
    ResourceUse used = ResourceUse.NONE;
    for (Map.Entry<String, Map<String, ResourceUse>> segment : usageBySegment.entrySet()) {
      if (segment.getKey().startsWith(SEGMENT_PREFIX + shard + "/")) {
        used = used.plus(segment.getValue().getOrDefault(team, ResourceUse.NONE));
      }
    }
    return used;
  }

  private ResourceUse share(String team, int shard) {
    List<ResourceUse> shares = sharesByKey.get(TEAM_KEYS.key(team));
    return shares == null ? ResourceUse.NONE : shares.get(shard);
  }
}
