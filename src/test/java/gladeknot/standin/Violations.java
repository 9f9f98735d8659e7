package gladeknot.standin;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The broken rules that the checkers of a simulation have found, each once. */
final class Violations {
  private final Set<String> found = new TreeSet<>();

  /** Adds a violation; the text begins with the rule's name. */
  void add(String violation) {
    found.add(violation);
  }

  /** All violations in alphabetical order. */
  List<String> list() {
    return List.copyOf(found);
  }
}
