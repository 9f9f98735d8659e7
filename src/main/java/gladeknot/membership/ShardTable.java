package gladeknot.membership;

import gladeknot.state.Entry;
import gladeknot.state.StateStore;

/**
 * The shards' records as the watch cache shows them. Each is decoded once for each revision, since
 * terms are asked for with every heartbeat.
 */
final class ShardTable {
  private final StateStore stateStore;
  private final String[] keys;
  private final Entry[] decodedEntries;
  private final ShardRecord[] records;

  ShardTable(StateStore stateStore, int shardCount) {
    this.stateStore = stateStore;
    this.keys = new String[shardCount];
    this.decodedEntries = new Entry[shardCount];
    this.records = new ShardRecord[shardCount];
    for (int shard = 0; shard < shardCount; shard++) {
      keys[shard] = MembershipKeys.shard(shard);
      records[shard] = ShardRecord.UNOWNED;
    }
  }

  int shardCount() {
    return keys.length;
  }

  String key(int shard) {
    return keys[shard];
  }

  /** The record of a shard; never null. */
  ShardRecord record(int shard) {
    Entry entry = stateStore.get(keys[shard]);
    if (entry != decodedEntries[shard]) {
      decodedEntries[shard] = entry;
      records[shard] = entry == null ? ShardRecord.UNOWNED : MembershipCodec.shard(entry);
    }
    return records[shard];
  }

  /** The revision of a shard's key; 0 if there is none. */
  long revision(int shard) {
    return stateStore.modRevision(keys[shard]);
  }

  long term(int shard) {
    return record(shard).term();
  }
}
