package gladeknot.connectivity;

import java.util.Optional;

/** Advises which node should own a shard, based on the reachability of the controllers. */
public interface FailoverAdvisor {
  /**
   * Gives no advice, so that only liveness and the home decide; used when links are not observed.
   */
  FailoverAdvisor NONE =
      new FailoverAdvisor() {
        @Override
        public Optional<String> preferredOwner(int shard) {
          return Optional.empty();
        }

        @Override
        public boolean mayReturnHome(int shard, String home) {
          return true;
        }

        @Override
        public boolean relinquishedToThisNode(int shard, long incarnation, long term) {
          return false;
        }

        @Override
        public long failoverDelayMicros(int shard) {
          return 0;
        }

        @Override
        public boolean abandonsLease() {
          return false;
        }
      };

  /** Returns a better owner for a shard whose workers are unreachable from this node, if any. */
  Optional<String> preferredOwner(int shard);

  /** Returns whether an owned shard may return to its home controller. */
  boolean mayReturnHome(int shard, String home);

  /**
   * Returns whether the owner of a shard, in the incarnation that the shard's key names, has
   * relinquished the shard to this node. That owner takes no further action under the given term.
   */
  boolean relinquishedToThisNode(int shard, long incarnation, long term);

  /** Returns the additional delay before the failover of a shard whose owner's lease expired. */
  long failoverDelayMicros(int shard);

  /**
   * Returns whether to stop renewing a state lease whose renewals get no answer. If requests arrive
   * but answers are lost, renewals would keep the lease alive forever, and no other node could take
   * over this node's shards.
   */
  boolean abandonsLease();
}
