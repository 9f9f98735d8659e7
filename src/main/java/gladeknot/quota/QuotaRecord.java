package gladeknot.quota;

import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A team's stored shares by shard. A share is proven if the record holds it as an amount. If a
 * share is unproven, the record does not show the shard's usage until the shard's owner has written
 * it.
 *
 * @param shares the share of each shard, in the order of the shards; empty if it is unproven
 */
record QuotaRecord(List<Optional<ResourceAmount>> shares) {
  /** Returns a record with the given shares, all of them proven. */
  static QuotaRecord of(List<ResourceAmount> shares) {
    return new QuotaRecord(shares.stream().map(Optional::of).toList());
  }

  /** Returns a record with the given number of unproven shares. */
  static QuotaRecord unproven(int shardCount) {
    List<Optional<ResourceAmount>> shares = new ArrayList<>();
    for (int shard = 0; shard < shardCount; shard++) {
      shares.add(Optional.empty());
    }
    return new QuotaRecord(shares);
  }

  /** Returns a shard's share; zero if it is unproven. */
  ResourceAmount share(int shard) {
    return shares.get(shard).orElse(ResourceAmount.NONE);
  }

  /** Returns whether a shard's share is proven. */
  boolean isProven(int shard) {
    return shares.get(shard).isPresent();
  }

  /** Returns whether all shares are proven, so that their sum bounds what the team uses. */
  boolean isProven() {
    return shares.stream().allMatch(Optional::isPresent);
  }

  /** Returns whether the shares keep a team's CPU usage within its limit, or it has no limit. */
  boolean boundsCpus(Settings.Team team) {
    return !team.limitsCpus() || (isProven() && sum().cpus() <= team.cpusMax());
  }

  /** Returns whether the shares keep a team's GPU usage within its limit, or it has no limit. */
  boolean boundsGpus(Settings.Team team) {
    return !team.limitsGpus() || (isProven() && sum().gpus() <= team.gpusMax());
  }

  /** Returns the sum of the proven shares. */
  ResourceAmount sum() {
    ResourceAmount sum = ResourceAmount.NONE;
    for (Optional<ResourceAmount> share : shares) {
      sum = sum.plus(share.orElse(ResourceAmount.NONE));
    }
    return sum;
  }

  /** Returns a copy of this record with the given share of one shard. */
  QuotaRecord with(int shard, ResourceAmount share) {
    List<Optional<ResourceAmount>> changed = new ArrayList<>(shares);
    changed.set(shard, Optional.of(share));
    return new QuotaRecord(changed);
  }
}
