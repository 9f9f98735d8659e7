package gladeknot.connectivity;

import gladeknot.json.Json;
import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.ShardOffer;
import gladeknot.settings.Settings;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The status for operators as JSON: members, shards, links, authority and recent changes. */
final class StatusReport {
  private static final double MICROS_PER_SECOND = 1e6;

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

  /** Describes a direction's fault: the link, the direction, the verdict and its duration. */
  static String describe(LinkTable.DirectionState state, long nowMicros) {
    return state.link()
        + " "
        + state.direction().displayName()
        + " "
        + state.verdict().displayName()
        + " for "
        + (nowMicros - state.sinceMicros()) / (long) MICROS_PER_SECOND
        + " s";
  }

  /** Builds the complete status as JSON. */
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
      OptionalLong sinceLastRecordMicros = peers.sinceLastRecordMicros(member.node());
      Boolean stateSteady =
          peers.freshReachability(member.node()).map(PeerReachability::stateSteady).orElse(null);
      members.add(
          Json.of(
              "node",
              member.node(),
              "heardAgoS",
              sinceLastRecordMicros.isPresent() ? seconds(sinceLastRecordMicros.getAsLong()) : null,
              "stateSteady",
              stateSteady));
    }
    return members;
  }

  private List<Object> shards(List<ShardOffer> offers) {
    List<Object> rows = new ArrayList<>();
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      rows.add(
          Json.of(
              "shard",
              shard,
              "home",
              shards.homeNode(shard),
              "owner",
              shards.owner(shard).orElse(null),
              "term",
              shards.term(shard),
              "workers",
              shards.workers(shard).size(),
              "authority",
              shards.isOwned(shard) ? authority.level(shard).displayName() : null,
              "cause",
              shards.isOwned(shard) ? authority.cause(shard) : "",
              "offeredTo",
              offeredTo(shard, offers)));
    }
    return rows;
  }

  /** Returns the node to which a shard is offered; null, shown as such, if it is not offered. */
  private static String offeredTo(int shard, List<ShardOffer> offers) {
    for (ShardOffer offer : offers) {
      if (offer.shard() == shard) {
        return offer.to();
      }
    }
    return null;
  }

  private List<Object> links(long nowMicros) {
    List<Object> rows = new ArrayList<>();
    for (LinkTable.DirectionState state : links.directionStates()) {
      double penalty = links.health(state.link(), state.direction()).penalty(nowMicros);
      rows.add(
          Json.of(
              "link",
              state.link().toString(),
              "direction",
              state.direction().displayName(),
              "verdict",
              state.verdict().displayName(),
              "sinceS",
              seconds(nowMicros - state.sinceMicros()),
              "provenAgoS",
              state.provenMicros() < 0 ? null : seconds(nowMicros - state.provenMicros()),
              "penalty",
              Math.round(penalty)));
    }
    return rows;
  }

  private static List<Object> changes(List<AuthorityLog.Change> changes) {
    List<Object> rows = new ArrayList<>();
    for (AuthorityLog.Change change : changes) {
      rows.add(
          Json.of(
              "time",
              time(change.wallMicros()),
              "shard",
              change.shard(),
              "from",
              change.from().displayName(),
              "to",
              change.to().displayName(),
              "cause",
              change.cause()));
    }
    return rows;
  }
}
