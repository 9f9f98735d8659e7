package gladeknot.quota;

/** A team's quota in one shard, as a key. */
record TeamShard(String team, int shard) {}
