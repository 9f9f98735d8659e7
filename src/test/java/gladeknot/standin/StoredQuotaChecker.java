package gladeknot.standin;

import gladeknot.settings.Settings;
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
  private static final String TEAM_PREFIX = "g/team/";
  private static final String SEGMENT_PREFIX = "g/sl/";
  private static final int TEAM_FIELD = 0;
  private static final int CPUS_FIELD = 1;
  private static final int GPUS_FIELD = 2;

  private final TeamLimits limits;
  private final int shards;
  private final Consumer<String> violations;

  /** Resources that the attempts of each segment use, by segment and team. */
  private final Map<String, Map<String, ResourceUse>> usageBySegment = new TreeMap<>();

  private final Map<String, List<ResourceUse>> sharesByTeam = new HashMap<>();
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
    } else if (key.startsWith(TEAM_PREFIX) && value != null) {
      sharesChanged(key.substring(TEAM_PREFIX.length()), shares(value));
      changed = true;
    }
  }

  private static Map<String, ResourceUse> usage(Map<String, Object> segment) {
    Map<String, ResourceUse> usage = new HashMap<>();
    segment.forEach(
        (job, value) -> {
          String record = String.valueOf(value);
          String[] fields = record.split("\\|", -1);
          ResourceUse task =
              new ResourceUse(
                  Long.parseLong(fields[CPUS_FIELD]), Long.parseLong(fields[GPUS_FIELD]));
          int attempts = RecordedAttempts.of(job, record).size();
          usage.merge(fields[TEAM_FIELD], task.times(attempts), ResourceUse::plus);
        });
    return usage;
  }

  private List<ResourceUse> shares(Map<String, Object> record) {
    List<ResourceUse> shares = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      shares.add(new ResourceUse(amount(record, "c", shard), amount(record, "g", shard)));
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
  private void sharesChanged(String team, List<ResourceUse> shares) {
    List<ResourceUse> before = sharesByTeam.put(team, shares);
    ResourceUse sum = sum(shares);
    boolean decreased =
        before != null
            && sum.cpus() <= sum(before).cpus()
            && sum.gpus() <= sum(before).gpus()
            && !sum.equals(sum(before));
    for (Settings.Team limitedTeam : limits.teams()) {
      if (limitedTeam.name().equals(team) && sum.exceeds(limitedTeam) && !decreased) {
        violations.accept("quota: shares of " + team + " add up to " + sum);
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
    List<ResourceUse> shares = sharesByTeam.get(team);
    return shares == null ? ResourceUse.NONE : shares.get(shard);
  }
}
