package gladeknot.quota;

import gladeknot.json.Json;
import gladeknot.json.ResourceUnits;
import gladeknot.state.Entry;
import gladeknot.state.NamedKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Converts a team's quota shares to and from their stored form: a list of CPU amounts and a list of
 * GPU amounts in thousandths, each by shard. Shares that are no whole thousandths have their
 * remaining billionths in two further lists, which earlier versions ignore.
 */
final class QuotaRecordCodec {
  private static final NamedKeys KEYS = new NamedKeys("team");
  private static final String CPUS = "c";
  private static final String GPUS = "g";
  private static final String REMAINING_CPUS = "cr";
  private static final String REMAINING_GPUS = "gr";

  /** Maximum valid amount, in thousandths. */
  private static final long MAX_AMOUNT = Long.MAX_VALUE / ResourceUnits.PER_THOUSANDTH - 1;

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
    Map<String, Object> fields = Json.of();
    putAmounts(fields, CPUS, REMAINING_CPUS, amounts(record, ResourceAmount::cpus));
    putAmounts(fields, GPUS, REMAINING_GPUS, amounts(record, ResourceAmount::gpus));
    return fields;
  }

  /** Returns one resource's share of each shard; null for an unproven share. */
  private static List<Long> amounts(QuotaRecord record, Function<ResourceAmount, Long> resource) {
    List<Long> amounts = new ArrayList<>();
    for (Optional<ResourceAmount> share : record.shares()) {
      amounts.add(share.map(resource).orElse(null));
    }
    return amounts;
  }

  private static void putAmounts(
      Map<String, Object> fields, String name, String remainderName, List<Long> amounts) {
    List<Long> thousandths = new ArrayList<>();
    List<Long> remainders = new ArrayList<>();
    for (Long amount : amounts) {
      thousandths.add(amount == null ? null : amount / ResourceUnits.PER_THOUSANDTH);
      remainders.add(amount == null ? 0 : amount % ResourceUnits.PER_THOUSANDTH);
    }
    fields.put(name, thousandths);
    if (remainders.stream().anyMatch(remainder -> remainder != 0)) {
      fields.put(remainderName, remainders);
    }
  }

  /** Decodes the shares of all shards; a share that is not stored as an amount is unproven. */
  static QuotaRecord decode(Entry entry, int shardCount) {
    List<Optional<ResourceAmount>> shares = new ArrayList<>();
    for (int shard = 0; shard < shardCount; shard++) {
      Optional<Long> cpus = amount(entry, CPUS, REMAINING_CPUS, shard);
      Optional<Long> gpus = amount(entry, GPUS, REMAINING_GPUS, shard);
      shares.add(
          cpus.isPresent() && gpus.isPresent()
              ? Optional.of(new ResourceAmount(cpus.get(), gpus.get()))
              : Optional.empty());
    }
    return new QuotaRecord(shares);
  }

  private static Optional<Long> amount(
      Entry entry, String field, String remainderField, int shard) {
    return wholeNumber(entry, field, shard, MAX_AMOUNT)
        .map(
            thousandths ->
                ResourceUnits.ofThousandths(thousandths)
                    + wholeNumber(entry, remainderField, shard, ResourceUnits.PER_THOUSANDTH - 1)
                        .orElse(0L))
        .map(amount -> Math.min(amount, ResourceUnits.MAX_AVAILABLE));
  }

  /** Returns a shard's number in a list; empty if there is none from 0 to a maximum. */
  private static Optional<Long> wholeNumber(Entry entry, String field, int shard, long max) {
    if (!(entry.data().get(field) instanceof List<?> amounts) || shard >= amounts.size()) {
      return Optional.empty();
    }
    Object amount = amounts.get(shard);
    if (!(amount instanceof Integer) && !(amount instanceof Long)) {
      return Optional.empty();
    }
    long value = ((Number) amount).longValue();
    return value >= 0 && value <= max ? Optional.of(value) : Optional.empty();
  }
}
