package gladeknot.connectivity;

import gladeknot.json.Json;
import gladeknot.peer.PeerReach;
import gladeknot.peer.PeerReach.ShardOffer;
import gladeknot.settings.Settings;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the operators' listener shows: members, shards, links, authority and its last changes. */
final class StatusReport {
  private static final double MICROS_A_SECOND = 1e6;

  private final Settings settings;
  private final ShardView shards;
  private final Authority authority;
  private final LinkTable links;
  private final PeerLinkObserver peers;

  StatusReport(
      Settings settings,
      ShardView shards,
      Authority authority,
      LinkTable links,
      PeerLinkObserver peers) {
    this.settings = settings;
    this.shards = shards;
    this.authority = authority;
    this.links = links;
    this.peers = peers;
  }

  /** A direction's fault in words: which link, which direction, what and for how long. */
  static String describe(LinkTable.DirectionState state, long nowMicros) {
    return state.link()
        + " "
        + state.direction().word()
        + " "
        + state.verdict().word()
        + " for "
        + (nowMicros - state.sinceMicros()) / (long) MICROS_A_SECOND
        + " s";
  }

  /** The whole as it goes out as JSON. */
  Map<String, Object> build(
      List<ShardOffer> offers, List<AuthorityLog.Change> changes, long nowMicros, long wallMicros) {
    return Json.of(
        "node",
        settings.node(),
        "time",
        time(wallMicros),
        "members",
        members(),
        "shards",
        shards(offers),
        "links",
        links(nowMicros),
        "changes",
        changes(changes));
  }

  private static String time(long wallMicros) {
    return Instant.EPOCH
        .plus(wallMicros, ChronoUnit.MICROS)
        .truncatedTo(ChronoUnit.MILLIS)
        .toString();
  }

  private static double seconds(long micros) {
    return Math.round(micros / 1e5) / 10.0;
  }

  private List<Object> members() {
    List<Object> members = new ArrayList<>();
    for (Settings.Member member : settings.members()) {
      long heardAgo = peers.heardAgoMicros(member.node());
      PeerReach reach = peers.freshReach(member.node());
      members.add(
          Json.of(
              "node",
              member.node(),
              "heardAgoS",
              heardAgo < 0 ? null : seconds(heardAgo),
              "stateSteady",
              reach == null ? null : reach.stateSteady()));
    }
    return members;
  }

  private List<Object> shards(List<ShardOffer> offers) {
    List<Object> told = new ArrayList<>();
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      int number = shard;
      String offeredTo =
          offers.stream()
              .filter(o -> o.shard() == number)
              .map(ShardOffer::to)
              .findFirst()
              .orElse(null);
      told.add(
          Json.of(
              "shard",
              shard,
              "home",
              shards.home(shard),
              "owner",
              shards.owner(shard),
              "term",
              shards.term(shard),
              "workers",
              shards.workers(shard).size(),
              "authority",
              shards.isOwned(shard) ? authority.level(shard).word() : null,
              "cause",
              shards.isOwned(shard) ? authority.cause(shard) : "",
              "offeredTo",
              offeredTo));
    }
    return told;
  }

  private List<Object> links(long nowMicros) {
    List<Object> told = new ArrayList<>();
    for (LinkTable.DirectionState state : links.all()) {
      double penalty = links.health(state.link(), state.direction()).penalty(nowMicros);
      told.add(
          Json.of(
              "link",
              state.link().toString(),
              "direction",
              state.direction().word(),
              "verdict",
              state.verdict().word(),
              "sinceS",
              seconds(nowMicros - state.sinceMicros()),
              "provenAgoS",
              state.provenMicros() < 0 ? null : seconds(nowMicros - state.provenMicros()),
              "penalty",
              Math.round(penalty)));
    }
    return told;
  }

  private static List<Object> changes(List<AuthorityLog.Change> changes) {
    List<Object> told = new ArrayList<>();
    for (AuthorityLog.Change change : changes) {
      told.add(
          Json.of(
              "time",
              time(change.wallMicros()),
              "shard",
              change.shard(),
              "from",
              change.from().word(),
              "to",
              change.to().word(),
              "cause",
              change.cause()));
    }
    return told;
  }
}
