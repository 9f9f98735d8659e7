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
  private record AllBut(Requirement missing) implements Authority.ShardFacts, Authority.StateLink {
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
      return missing != Requirement.LOADED;
    }

    @Override
    public boolean cacheFresh() {
      return missing != Requirement.FRESH_COPY;
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
    AllBut facts = new AllBut(missing);
    Authority authority = new Authority(facts, facts);
    EnumSet<ControlAction> permitted = EnumSet.noneOf(ControlAction.class);
    ALL.stream().filter(kind -> authority.permits(kind, 0)).forEach(permitted::add);
    return permitted;
  }

  private static Set<ControlAction> allBut(ControlAction... kinds) {
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
    assertEquals(allBut(committed), permitted(Requirement.SETTLED));
    assertEquals(allBut(committed), permitted(Requirement.LOADED));
    assertEquals(allBut(ControlAction.SEND_RUN), permitted(Requirement.FRESH_COPY));
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
            Requirement.LOADED, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.FRESH_COPY, AuthorityLevel.NO_NEW_ORDERS,
            Requirement.STATE_LINK, AuthorityLevel.NO_NEW_ORDERS);
    for (Requirement missing : Requirement.values()) {
      AllBut facts = new AllBut(missing);
      Authority authority = new Authority(facts, facts);
      assertEquals(levels.get(missing), authority.level(0), missing.name());
      assertTrue(authority.cause(0).startsWith(missing.missing()), authority.cause(0));
    }
    AllBut link = new AllBut(Requirement.STATE_LINK);
    assertTrue(new Authority(link, link).refusal().contains("state inbound unreachable for 5 s"));
    AllBut none = new AllBut(null);
    assertEquals(AuthorityLevel.FULL, new Authority(none, none).level(0));
    assertEquals(null, new Authority(none, none).refusal());
  }
}
