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

/** The links of this controller with the health of each direction. */
final class LinkTable {
  private static final Logger LOG = LoggerFactory.getLogger(LinkTable.class);

  /** Maximum number of links in the table; evidence on further links is discarded. */
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
            settings.damping().maxSuppressedMicros());
  }

  /** Returns the health of a direction, with a new entry for a link that has none. */
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

  /** Removes a link and the evidence on it. */
  void remove(LinkId link) {
    links.remove(link);
  }

  /** Creates a flap damping with the same limits as the links have. */
  FlapDamping newDamping() {
    return new FlapDamping(damping);
  }

  /** Updates all verdicts. */
  void update(long nowMicros) {
    links.forEach(
        (link, directions) ->
            directions.forEach(
                (direction, health) -> {
                  Verdict previous = health.verdict();
                  if (health.update(nowMicros)) {
                    LOG.debug(
                        "link verdict changed link={} direction={} from={} to={}",
                        link,
                        direction,
                        previous,
                        health.verdict());
                  }
                }));
  }

  /** Returns the first unreachable direction of a link, if there is one. */
  Optional<DirectionState> unreachableDirection(LinkId link) {
    Map<Direction, DirectionHealth> directions = links.getOrDefault(link, Map.of());
    for (Map.Entry<Direction, DirectionHealth> entry : directions.entrySet()) {
      if (!entry.getValue().verdict().usable()) {
        return Optional.of(state(link, entry.getKey(), entry.getValue()));
      }
    }
    return Optional.empty();
  }

  /** Returns whether a link has known directions and all of them are steady. */
  boolean steady(LinkId link) {
    Map<Direction, DirectionHealth> directions = links.getOrDefault(link, Map.of());
    return !directions.isEmpty()
        && directions.values().stream().allMatch(health -> health.verdict().steady());
  }

  /** Returns the state of every direction of every link. */
  List<DirectionState> directionStates() {
    List<DirectionState> states = new ArrayList<>();
    links.forEach(
        (link, directions) ->
            directions.forEach((direction, health) -> states.add(state(link, direction, health))));
    return states;
  }

  private static DirectionState state(LinkId link, Direction direction, DirectionHealth health) {
    return new DirectionState(
        link, direction, health.verdict(), health.sinceMicros(), health.provenMicros());
  }
}
