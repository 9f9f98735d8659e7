package gladeknot.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The table of authority: the kinds of action that are forbidden when one requirement is unmet. */
class AuthorityTest {
  private static final Set<ControlAction> ALL = EnumSet.allOf(ControlAction.class);

  /** Facts that meet all requirements but one. */
  private record AllExcept(Requirement unmet) implements Authority.ShardFacts, Authority.StateLink {
    @Override
    public boolean leaseHolds(int shard) {
      return unmet != Requirement.LEASE;
    }

    @Override
    public boolean inDoubt(int shard) {
      return unmet == Requirement.SETTLED;
    }

    @Override
    public boolean cacheLoaded() {
      return unmet != Requirement.CACHE_LOADED;
    }

    @Override
    public boolean cacheFresh() {
      return unmet != Requirement.CACHE_FRESH;
    }

    @Override
    public boolean usable() {
      return unmet != Requirement.STATE_LINK;
    }

    @Override
    public String fault() {
      return usable() ? "" : "state inbound unreachable for 5 s";
    }
  }

  private static Set<ControlAction> permitted(Requirement unmet) {
    AllExcept facts = new AllExcept(unmet);
    Authority authority = new Authority(facts, facts);
    EnumSet<ControlAction> permitted = EnumSet.noneOf(ControlAction.class);
    ALL.stream().filter(kind -> authority.permits(kind, 0)).forEach(permitted::add);
    return permitted;
  }

  private static Set<ControlAction> allExcept(ControlAction... kinds) {
    return EnumSet.complementOf(EnumSet.copyOf(List.of(kinds)));
  }

  @Test
  void unmetRequirementForbidsOnlyItsActions() {
    ControlAction[] committing = {
      ControlAction.SCHEDULE,
      ControlAction.COMMIT,
      ControlAction.SCALE_OUT,
      ControlAction.SCALE_IN,
      ControlAction.CHANGE_QUOTA
    };
    assertEquals(ALL, permitted(null));
    assertEquals(allExcept(committing), permitted(Requirement.SETTLED));
    assertEquals(allExcept(committing), permitted(Requirement.CACHE_LOADED));
    assertEquals(allExcept(ControlAction.SEND_RUN), permitted(Requirement.CACHE_FRESH));
    assertEquals(
        Set.of(
            ControlAction.KILL_CANCELLED, ControlAction.TRANSFER_SHARD, ControlAction.ANSWER_USER),
        permitted(Requirement.LEASE));
    // Actions that keep tasks alive or end them do not depend on links.
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
  void levelAndCauseShowUnmetRequirement() {
    Map<Requirement, AuthorityLevel> levels =
        Map.of(
            Requirement.LEASE, AuthorityLevel.RELINQUISHED,
            Requirement.SETTLED, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.CACHE_LOADED, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.CACHE_FRESH, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.STATE_LINK, AuthorityLevel.NO_NEW_ORDERS);
    for (Requirement unmet : Requirement.values()) {
      AllExcept facts = new AllExcept(unmet);
      Authority authority = new Authority(facts, facts);
      assertEquals(levels.get(unmet), authority.level(0), unmet.name());
      assertTrue(authority.cause(0).startsWith(unmet.unmetMessage()), authority.cause(0));
    }
    AllExcept link = new AllExcept(Requirement.STATE_LINK);
    assertTrue(new Authority(link, link).refusal().contains("state inbound unreachable for 5 s"));
    AllExcept none = new AllExcept(null);
    assertEquals(AuthorityLevel.FULL, new Authority(none, none).level(0));
    assertEquals(null, new Authority(none, none).refusal());
  }
}
