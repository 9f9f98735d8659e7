package gladeknot.membership;

import gladeknot.state.NamedKeys;
import gladeknot.state.StateStore;

/** The keys under which this package's records are stored. */
final class MembershipKeys {
  /** The controllers' liveness keys. */
  private static final NamedKeys LIVENESS = new NamedKeys("alive");

  /** Key of the counter from which terms are drawn. */
  static final String TERM_COUNTER = StateStore.ROOT + "term";

  /** Key of the storage format. */
  static final String FORMAT = StateStore.ROOT + "format";

  /** Key of the number of shards. */
  static final String SHARD_COUNT = StateStore.ROOT + "shards";

  /** Prefix of the shards' keys. */
  static final String SHARD_PREFIX = StateStore.ROOT + "shard/";

  private static final String DELEGATION_PREFIX = StateStore.ROOT + "care/";

  private MembershipKeys() {}

  static String shard(int shard) {
    return SHARD_PREFIX + shard;
  }

  /** Returns the prefix that the liveness keys of all controllers have in common. */
  static String livenessPrefix() {
    return LIVENESS.commonPrefix();
  }

  static String liveness(String node) {
    return LIVENESS.key(node);
  }

  static String delegation(int shard) {
    return DELEGATION_PREFIX + shard;
  }
}
