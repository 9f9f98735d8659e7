package gladeknot.quota;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts a team's quota shares from and to the team's record: a list by shard of each amount. */
final class QuotaRecordCodec {
  private static final String KEY_PREFIX = StateStore.ROOT + "team/";
  private static final String CPUS = "c";
  private static final String GPUS = "g";

  private QuotaRecordCodec() {}

  /** The key of a team's record. */
  static String key(String team) {
    return KEY_PREFIX + team;
  }

  /** The record of a team's shares, the first shard's first. */
  static Map<String, Object> encode(List<ResourceAmount> shares) {
    List<Long> cpus = new ArrayList<>(shares.size());
    List<Long> gpus = new ArrayList<>(shares.size());
    for (ResourceAmount share : shares) {
      cpus.add(share.cpus());
      gpus.add(share.gpus());
    }
    return Json.of(CPUS, cpus, GPUS, gpus);
  }

  /** One shard's share in a team's record; what the record does not hold counts as 0. */
  static ResourceAmount decodeShare(Entry entry, int shard) {
    return new ResourceAmount(amount(entry, CPUS, shard), amount(entry, GPUS, shard));
  }

  private static long amount(Entry entry, String field, int shard) {
    return entry.data().get(field) instanceof List<?> amounts
            && shard < amounts.size()
            && amounts.get(shard) instanceof Number amount
        ? amount.longValue()
        : 0;
  }
}
