package gladeknot.fleet;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Instances to request: the number per offering, in the order in which the offerings were first
 * added.
 */
final class ScaleOutPlan {
  private final Map<InstanceOffering, Integer> counts = new LinkedHashMap<>();

  /** Adds one instance of an offering. */
  void add(InstanceOffering offering) {
    counts.merge(offering, 1, Integer::sum);
  }

  int count(InstanceOffering offering) {
    return counts.getOrDefault(offering, 0);
  }

  Map<InstanceOffering, Integer> counts() {
    return Collections.unmodifiableMap(counts);
  }
}
