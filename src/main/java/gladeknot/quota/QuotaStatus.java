package gladeknot.quota;

import gladeknot.json.Json;
import gladeknot.json.ResourceUnits;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The operators' view of quota: a row for each team and owned shard, and the event counts. */
final class QuotaStatus {
  private QuotaStatus() {}

  static Map<String, Object> of(
      Settings settings, Membership membership, QuotaLedger ledger, QuotaCounters counters) {
    List<Object> rows = new ArrayList<>();
    for (String team : settings.teams().keySet().stream().sorted().toList()) {
      for (int shard : membership.ownedShards().stream().sorted().toList()) {
        rows.add(row(team, shard, membership, ledger));
      }
    }
    Map<String, Object> counts = Json.of();
    for (QuotaCounters.Event event : QuotaCounters.Event.values()) {
      counts.put(event.name().toLowerCase(Locale.ROOT), counters.get(event));
    }
    return Json.of("shares", rows, "counts", counts);
  }

  private static Map<String, Object> row(
      String team, int shard, Membership membership, QuotaLedger ledger) {
    ResourceAmount share = ledger.committedShare(team, shard);
    ResourceAmount used = ledger.usage(team, shard);
    return Json.of(
        "team",
        team,
        "shard",
        shard,
        "term",
        membership.term(shard),
        "shareCpus",
        ResourceUnits.toDouble(share.cpus()),
        "usedCpus",
        ResourceUnits.toDouble(used.cpus()),
        "shareGpus",
        ResourceUnits.toDouble(share.gpus()),
        "usedGpus",
        ResourceUnits.toDouble(used.gpus()),
        "revision",
        ledger.recordRevision(team));
  }
}
