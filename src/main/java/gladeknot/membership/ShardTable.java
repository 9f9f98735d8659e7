package gladeknot.membership;

import gladeknot.state.Entry;
import gladeknot.state.StateStore;

/**
 * The shards' records in the watch cache. Each record is decoded once for each revision, because
 * every heartbeat looks up a term.
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

  /** Returns the record of a shard; never null. */
  ShardRecord record(int shard) {
    Entry entry = stateStore.get(keys[shard]);
    if (entry != decodedEntries[shard]) {
      decodedEntries[shard] = entry;
      records[shard] = entry == null ? ShardRecord.UNOWNED : MembershipCodec.shard(entry);
    }
    return records[shard];
  }

  /** Returns the revision of a shard's key; 0 if the key does not exist. */
  long revision(int shard) {
    return stateStore.modRevision(keys[shard]);
  }

  long term(int shard) {
    return record(shard).term();
  }
}
