package gladeknot.quota;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import gladeknot.state.NamedKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Converts a team's quota shares to and from their stored form: a list of CPU amounts and a list of
 * GPU amounts, each by shard.
 */
final class QuotaRecordCodec {
  private static final NamedKeys KEYS = new NamedKeys("team");
  private static final String CPUS = "c";
  private static final String GPUS = "g";

  /** Maximum valid amount; the sum of the amounts of all shards fits a long. */
  private static final long MAX_AMOUNT = Long.MAX_VALUE >> 20;

  private QuotaRecordCodec() {}

  /** Returns the key of a team's record. */
  static String key(String team) {
    return KEYS.key(team);
  }

  /**
   * Returns the stored form of a record. Versions that expect only amounts read an unproven share
   * as 0.
   */
  static Map<String, Object> encode(QuotaRecord record) {
    List<Long> cpus = new ArrayList<>();
    List<Long> gpus = new ArrayList<>();
    for (Optional<ResourceAmount> share : record.shares()) {
      cpus.add(share.map(ResourceAmount::cpus).orElse(null));
      gpus.add(share.map(ResourceAmount::gpus).orElse(null));
    }
    return Json.of(CPUS, cpus, GPUS, gpus);
  }

  /** Decodes the shares of all shards; a share that is not stored as an amount is unproven. */
  static QuotaRecord decode(Entry entry, int shardCount) {
    List<Optional<ResourceAmount>> shares = new ArrayList<>();
    for (int shard = 0; shard < shardCount; shard++) {
      Optional<Long> cpus = amount(entry, CPUS, shard);
      Optional<Long> gpus = amount(entry, GPUS, shard);
      shares.add(
          cpus.isPresent() && gpus.isPresent()
              ? Optional.of(new ResourceAmount(cpus.get(), gpus.get()))
              : Optional.empty());
    }
    return new QuotaRecord(shares);
  }

  private static Optional<Long> amount(Entry entry, String field, int shard) {
    if (!(entry.data().get(field) instanceof List<?> amounts) || shard >= amounts.size()) {
      return Optional.empty();
    }
    Object amount = amounts.get(shard);
    if (!(amount instanceof Integer) && !(amount instanceof Long)) {
      return Optional.empty();
    }
    long value = ((Number) amount).longValue();
    return value >= 0 && value <= MAX_AMOUNT ? Optional.of(value) : Optional.empty();
  }
}
