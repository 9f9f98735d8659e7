package gladeknot.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The table of authority: which kinds of orders stop when one thing does not hold. */
class AuthorityTest {
  private static final Set<ControlAction> ALL = EnumSet.allOf(ControlAction.class);

  /** Facts of which one does not hold. */
  private record AllExcept(Requirement missing)
      implements Authority.ShardFacts, Authority.StateLink {
    @Override
    public boolean leaseHolds(int shard) {
      return missing != Requirement.LEASE;
    }

    @Override
    public boolean inDoubt(int shard) {
      return missing == Requirement.SETTLED;
    }

    @Override
    public boolean cacheLoaded() {
      return missing != Requirement.CACHE_LOADED;
    }

    @Override
    public boolean cacheFresh() {
      return missing != Requirement.CACHE_FRESH;
    }

    @Override
    public boolean usable() {
      return missing != Requirement.STATE_LINK;
    }

    @Override
    public String fault() {
      return usable() ? "" : "state inbound unreachable for 5 s";
    }
  }

  private static Set<ControlAction> permitted(Requirement missing) {
    AllExcept facts = new AllExcept(missing);
    Authority authority = new Authority(facts, facts);
    EnumSet<ControlAction> permitted = EnumSet.noneOf(ControlAction.class);
    ALL.stream().filter(kind -> authority.permits(kind, 0)).forEach(permitted::add);
    return permitted;
  }

  private static Set<ControlAction> allExcept(ControlAction... kinds) {
    return EnumSet.complementOf(EnumSet.copyOf(List.of(kinds)));
  }

  @Test
  void whatIsMissingStopsItsOrdersAndNoOthers() {
    ControlAction[] committed = {
      ControlAction.SCHEDULE,
      ControlAction.COMMIT,
      ControlAction.SCALE_OUT,
      ControlAction.SCALE_IN,
      ControlAction.CHANGE_QUOTA
    };
    assertEquals(ALL, permitted(null));
    assertEquals(allExcept(committed), permitted(Requirement.SETTLED));
    assertEquals(allExcept(committed), permitted(Requirement.CACHE_LOADED));
    assertEquals(allExcept(ControlAction.SEND_RUN), permitted(Requirement.CACHE_FRESH));
    assertEquals(
        Set.of(
            ControlAction.KILL_CANCELLED, ControlAction.TRANSFER_SHARD, ControlAction.ANSWER_USER),
        permitted(Requirement.LEASE));
    // What keeps tasks alive, and what ends them, does not depend on links.
    assertEquals(
        Set.of(
            ControlAction.COMMIT,
            ControlAction.KILL,
            ControlAction.KILL_CANCELLED,
            ControlAction.PURGE,
            ControlAction.RENEW_LEASE),
        permitted(Requirement.STATE_LINK));
  }

  @Test
  void levelAndCauseSayWhatIsMissing() {
    Map<Requirement, AuthorityLevel> levels =
        Map.of(
            Requirement.LEASE, AuthorityLevel.RELINQUISHED,
            Requirement.SETTLED, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.CACHE_LOADED, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.CACHE_FRESH, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.STATE_LINK, AuthorityLevel.NO_NEW_ORDERS);
    for (Requirement missing : Requirement.values()) {
      AllExcept facts = new AllExcept(missing);
      Authority authority = new Authority(facts, facts);
      assertEquals(levels.get(missing), authority.level(0), missing.name());
      assertTrue(authority.cause(0).startsWith(missing.unmetMessage()), authority.cause(0));
    }
    AllExcept link = new AllExcept(Requirement.STATE_LINK);
    assertTrue(new Authority(link, link).refusal().contains("state inbound unreachable for 5 s"));
    AllExcept none = new AllExcept(null);
    assertEquals(AuthorityLevel.FULL, new Authority(none, none).level(0));
    assertEquals(null, new Authority(none, none).refusal());
  }
}
