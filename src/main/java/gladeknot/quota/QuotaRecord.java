package gladeknot.quota;

import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A team's stored shares by shard. A share is unproven if the record does not hold it as an amount:
 * what the shard uses is not known from the record, until the shard's owner has written it.
 *
 * @param shares the share of each shard, the first shard's first; empty for an unproven one
 */
record QuotaRecord(List<Optional<ResourceAmount>> shares) {
  /** A record of which each share is given. */
  static QuotaRecord of(List<ResourceAmount> shares) {
    return new QuotaRecord(shares.stream().map(Optional::of).toList());
  }

  /** A record of so many unproven shares. */
  static QuotaRecord unproven(int shards) {
    List<Optional<ResourceAmount>> shares = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      shares.add(Optional.empty());
    }
    return new QuotaRecord(shares);
  }

  /** A shard's share; none if it is unproven. */
  ResourceAmount share(int shard) {
    return shares.get(shard).orElse(ResourceAmount.NONE);
  }

  /** Whether a shard's share is an amount. */
  boolean isProven(int shard) {
    return shares.get(shard).isPresent();
  }

  /** Whether all shares are amounts, so that their sum bounds what the team uses. */
  boolean isProven() {
    return shares.stream().allMatch(Optional::isPresent);
  }

  /** Whether the shares bound the CPUs that a team's tasks use, if it has a limit of them. */
  boolean boundsCpus(Settings.Team team) {
    return !team.limitsCpus() || (isProven() && sum().cpus() <= team.cpusMax());
  }

  /** The same for GPUs. */
  boolean boundsGpus(Settings.Team team) {
    return !team.limitsGpus() || (isProven() && sum().gpus() <= team.gpusMax());
  }

  /** The sum of the proven shares. */
  ResourceAmount sum() {
    ResourceAmount sum = ResourceAmount.NONE;
    for (Optional<ResourceAmount> share : shares) {
      sum = sum.plus(share.orElse(ResourceAmount.NONE));
    }
    return sum;
  }

  /** The same record with another share of one shard. */
  QuotaRecord with(int shard, ResourceAmount share) {
    List<Optional<ResourceAmount>> changed = new ArrayList<>(shares);
    changed.set(shard, Optional.of(share));
    return new QuotaRecord(changed);
  }
}
