package gladeknot.connectivity;

import java.util.Optional;

/** Advises which node should own a shard, by what the controllers reach. */
public interface FailoverAdvisor {
  /** Without knowledge of links: liveness and the home alone decide. */
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

  /** The node that should own a shard whose workers this one doesn't reach, if one is better. */
  Optional<String> preferredOwner(int shard);

  /** Whether an owned shard may return to its home controller. */
  boolean mayReturnHome(int shard, String home);

  /**
   * Whether the owner of a shard, in the incarnation that its key names, has relinquished it to
   * this node: it does nothing more under the given term.
   */
  boolean relinquishedToThisNode(int shard, long incarnation, long term);

  /** How much longer to wait before the failover of a shard whose owner's lease has expired. */
  long failoverDelayMicros(int shard);

  /**
   * Whether a state lease whose renewals are not answered must not be renewed any more: where
   * requests arrive and answers don't, it would hold for ever, and no other node could take this
   * one's shards.
   */
  boolean abandonsLease();
}
