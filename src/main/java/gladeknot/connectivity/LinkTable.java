package gladeknot.connectivity;

import gladeknot.settings.PartialCuts;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All links of this controller, with the health of each direction. */
final class LinkTable {
  private static final Logger LOG = LoggerFactory.getLogger(LinkTable.class);

  /** So many links are followed; of further ones nothing is kept. */
  private static final int MAX_LINKS = 4096;

  /** The state of one direction of one link. */
  record DirectionState(
      LinkId link, Direction direction, Verdict verdict, long sinceMicros, long provenMicros) {}

  private final DirectionHealth.Limits limits;
  private final FlapDamping.Limits damping;
  private final Map<LinkId, Map<Direction, DirectionHealth>> links = new LinkedHashMap<>();

  LinkTable(PartialCuts settings) {
    this.limits =
        new DirectionHealth.Limits(
            settings.links().suspectAfterMicros(),
            settings.links().unreachableAfterMicros(),
            settings.links().probationMicros());
    this.damping =
        new FlapDamping.Limits(
            settings.damping().penaltyPerChange(),
            settings.damping().suppressAbove(),
            settings.damping().reuseBelow(),
            settings.damping().halfLifeMicros(),
            settings.damping().mostSuppressedMicros());
  }

  /** The health of a direction; an entry is made for a new link. */
  DirectionHealth health(LinkId link, Direction direction) {
    Map<Direction, DirectionHealth> directions = links.get(link);
    if (directions == null) {
      if (links.size() >= MAX_LINKS) {
        return new DirectionHealth(limits, damping);
      }
      directions = new EnumMap<>(Direction.class);
      links.put(link, directions);
    }
    return directions.computeIfAbsent(direction, d -> new DirectionHealth(limits, damping));
  }

  /** Drops what is known of a link. */
  void forget(LinkId link) {
    links.remove(link);
  }

  /** A limiter of changes by the same limits that links have. */
  FlapDamping newDamping() {
    return new FlapDamping(damping);
  }

  /** Updates all verdicts. */
  void update(long nowMicros) {
    links.forEach(
        (link, directions) ->
            directions.forEach(
                (direction, health) -> {
                  Verdict before = health.verdict();
                  if (health.update(nowMicros)) {
                    LOG.debug(
                        "link verdict changed link={} direction={} from={} to={}",
                        link,
                        direction,
                        before,
                        health.verdict());
                  }
                }));
  }

  /** The first direction of a link that is unreachable, if there is one. */
  Optional<DirectionState> unreachable(LinkId link) {
    Map<Direction, DirectionHealth> directions = links.getOrDefault(link, Map.of());
    for (Map.Entry<Direction, DirectionHealth> entry : directions.entrySet()) {
      if (!entry.getValue().verdict().usable()) {
        return Optional.of(state(link, entry.getKey(), entry.getValue()));
      }
    }
    return Optional.empty();
  }

  /** Whether every known direction of a link is steady. */
  boolean steady(LinkId link) {
    Map<Direction, DirectionHealth> directions = links.getOrDefault(link, Map.of());
    return !directions.isEmpty()
        && directions.values().stream().allMatch(h -> h.verdict().steady());
  }

  /** All directions of all links. */
  List<DirectionState> all() {
    List<DirectionState> all = new ArrayList<>();
    links.forEach(
        (link, directions) ->
            directions.forEach((direction, health) -> all.add(state(link, direction, health))));
    return all;
  }

  private static DirectionState state(LinkId link, Direction direction, DirectionHealth health) {
    return new DirectionState(
        link, direction, health.verdict(), health.sinceMicros(), health.provenMicros());
  }
}
