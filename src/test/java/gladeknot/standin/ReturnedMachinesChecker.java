package gladeknot.standin;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks that no machine is registered again after it was given back: a late copy was believed. */
final class ReturnedMachinesChecker {
  private static final String PREFIX = "g/w/";
  private static final String REMOVED = "-";

  private final FakeStateStore state;
  private final Violations violations;
  private final Set<String> registeredBefore = new HashSet<>();
  private final Set<String> givenBack = new HashSet<>();

  ReturnedMachinesChecker(FakeStateStore state, Violations violations) {
    this.state = state;
    this.violations = violations;
  }

  /** Compares the stored machines with those of the last check. */
  void check() {
    Set<String> registered = registered();
    for (String host : registered) {
      if (givenBack.contains(host)) {
        violations.add("taken in again: " + host);
      }
    }
    for (String host : registeredBefore) {
      if (!registered.contains(host)) {
        givenBack.add(host);
      }
    }
    registeredBefore.clear();
    registeredBefore.addAll(registered);
  }

  private Set<String> registered() {
    Set<String> hosts = new HashSet<>();
    for (String key : state.keys(PREFIX)) {
      String hostPrefix = key.substring(PREFIX.length(), key.length() - 1);
      for (Map.Entry<String, Object> record : state.get(key).entrySet()) {
        if (!record.getValue().equals(REMOVED)) {
          hosts.add(hostPrefix + record.getKey());
        }
      }
    }
    return hosts;
  }
}
