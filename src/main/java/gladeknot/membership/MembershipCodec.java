package gladeknot.membership;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import java.util.Map;

/** Converts this package's records to and from their form in the state service. */
final class MembershipCodec {
  private static final String OWNER = "owner";
  private static final String INCARNATION = "inc";
  private static final String TERM = "term";
  private static final String FORMAT = "f";
  private static final String SPLIT = "split";
  private static final String COUNTER = "n";
  private static final String DELEGATE = "by";

  /** Format of a liveness key that names none: the first version does not write one. */
  private static final int FIRST_FORMAT = 1;

  private MembershipCodec() {}

  static Map<String, Object> encode(ShardRecord shard) {
    return Json.of(OWNER, shard.owner(), INCARNATION, shard.incarnation(), TERM, shard.term());
  }

  static ShardRecord shard(Entry entry) {
    Map<String, Object> data = entry.data();
    return new ShardRecord(
        Json.text(data, OWNER),
        Json.longValue(data, INCARNATION, 0),
        Json.longValue(data, TERM, 0));
  }

  static Map<String, Object> encode(LivenessRecord liveness) {
    return Json.of(INCARNATION, liveness.incarnation(), FORMAT, liveness.format());
  }

  static LivenessRecord liveness(Entry entry) {
    Map<String, Object> data = entry.data();
    return new LivenessRecord(
        Json.longValue(data, INCARNATION, 0), (int) Json.longValue(data, FORMAT, FIRST_FORMAT));
  }

  static Map<String, Object> encode(DelegationRecord delegation) {
    return Json.of(DELEGATE, delegation.delegate(), TERM, delegation.term());
  }

  static DelegationRecord delegation(Entry entry) {
    Map<String, Object> data = entry.data();
    return new DelegationRecord(Json.text(data, DELEGATE), Json.longValue(data, TERM, 0));
  }

  static Map<String, Object> encode(FormatRecord format) {
    return Json.of(FORMAT, format.format(), SPLIT, format.segmentSplit());
  }

  static FormatRecord format(Entry entry) {
    Map<String, Object> data = entry.data();
    int split = (int) Math.max(1, Json.longValue(data, SPLIT, 1));
    return new FormatRecord((int) Json.longValue(data, FORMAT, FIRST_FORMAT), split);
  }

  /** Returns the stored form of the number of shards. */
  static Map<String, Object> encodeShardCount(int count) {
    return Json.of(COUNTER, count);
  }

  /** Returns the stored number of shards. */
  static int shardCount(Entry entry) {
    return (int) Json.longValue(entry.data(), COUNTER, 0);
  }

  /** Returns the stored form of the counter from which terms are drawn. */
  static Map<String, Object> encodeTermCounter(long lastTerm) {
    return Json.of(COUNTER, lastTerm);
  }

  /** Returns the highest term drawn so far; 0 if the entry is null (no counter exists). */
  static long termCounter(Entry entry) {
    return entry == null ? 0 : Json.longValue(entry.data(), COUNTER, 0);
  }
}
