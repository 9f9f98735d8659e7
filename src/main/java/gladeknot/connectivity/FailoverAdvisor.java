package gladeknot.connectivity;

/** Advises who should own a shard, by what the controllers reach. */
public interface FailoverAdvisor {
  /** Without knowledge of links: the rules by liveness and home alone. */
  FailoverAdvisor NONE =
      new FailoverAdvisor() {
        @Override
        public String preferredOwner(int shard) {
          return null;
        }

        @Override
        public boolean mayReturnHome(int shard, String home) {
          return true;
        }

        @Override
        public boolean yieldedToThisNode(int shard, long incarnation, long term) {
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

  /** Who should be given a shard of ours whose workers we don't reach; null if nobody is better. */
  String preferredOwner(int shard);

  /** Whether a shard that is ours may go back to its home controller. */
  boolean mayReturnHome(int shard, String home);

  /**
   * Whether the owner of a shard, in the life that its key names, does nothing more under a term,
   * and has named us to take it.
   */
  boolean yieldedToThisNode(int shard, long incarnation, long term);

  /** How much longer we wait before taking a shard whose owner's lease has lapsed. */
  long failoverDelayMicros(int shard);

  /**
   * Whether a state lease whose renewals are not answered is not to be renewed any more: where
   * requests arrive and answers don't, it would hold for ever, and nobody could take our shards.
   */
  boolean abandonsLease();
}
