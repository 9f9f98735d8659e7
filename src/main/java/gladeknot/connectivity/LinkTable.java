package gladeknot.connectivity;

import gladeknot.settings.PartialCuts;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All links of this controller with what is known of each direction. */
final class LinkTable {
  private static final Logger LOG = LoggerFactory.getLogger(LinkTable.class);

  /** Beyond the members and services, so many zones are followed; others count as one. */
  private static final int MAX_LINKS = 4096;

  /** What is told of one direction of one link. */
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

  /** What is known of a direction; an entry is made for a link that is new. */
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

  /** Nothing is known of a link any more. */
  void forget(LinkId link) {
    links.remove(link);
  }

  /** A limiter of changes by the same limits that links have. */
  FlapDamping newDamping() {
    return new FlapDamping(damping);
  }

  /** Draws all verdicts anew. */
  void update(long nowMicros) {
    links.forEach(
        (link, directions) ->
            directions.forEach(
                (direction, health) -> {
                  Verdict before = health.verdict();
                  if (health.update(nowMicros)) {
                    LOG.debug("{} {}: {} after {}", link, direction, health.verdict(), before);
                  }
                }));
  }

  /** The first direction of a link that is unreachable; null if there is none. */
  DirectionState unreachable(LinkId link) {
    Map<Direction, DirectionHealth> directions = links.getOrDefault(link, Map.of());
    for (Map.Entry<Direction, DirectionHealth> entry : directions.entrySet()) {
      if (!entry.getValue().verdict().usable()) {
        return state(link, entry.getKey(), entry.getValue());
      }
    }
    return null;
  }

  /** Whether everything that is known of a link has been well for long enough. */
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
