package gladeknot.standin;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that no machine is registered again after it was released. That would happen if a
 * controller accepted a late duplicate of a heartbeat from a released machine.
 */
final class ReturnedMachinesChecker {
  private static final String MACHINE_PREFIX = "g/w/";
  private static final String REMOVED = "-";

  private final FakeStateStore state;
  private final Violations violations;
  private final Set<String> registeredBefore = new HashSet<>();
  private final Set<String> released = new HashSet<>();

  ReturnedMachinesChecker(FakeStateStore state, Violations violations) {
    this.state = state;
    this.violations = violations;
  }

  /** Compares the registered machines with those of the previous check. */
  void check() {
    Set<String> registered = registered();
    for (String host : registered) {
      if (released.contains(host)) {
        violations.add("taken in again: " + host);
      }
    }
    for (String host : registeredBefore) {
      if (!registered.contains(host)) {
        released.add(host);
      }
    }
    registeredBefore.clear();
    registeredBefore.addAll(registered);
  }

  private Set<String> registered() {
    Set<String> hosts = new HashSet<>();
    for (String key : state.keys(MACHINE_PREFIX)) {
      String hostPrefix = key.substring(MACHINE_PREFIX.length(), key.length() - 1);
      for (Map.Entry<String, Object> record : state.get(key).entrySet()) {
        if (!record.getValue().equals(REMOVED)) {
          hosts.add(hostPrefix + record.getKey());
        }
      }
    }
    return hosts;
  }
}
