package gladeknot.standin;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Invariant violations that the checkers of a simulation have found, each once. */
final class Violations {
  private final Set<String> found = new TreeSet<>();

  /** Adds a violation; the text begins with the name of the invariant. */
  void add(String violation) {
    found.add(violation);
  }

  /** Returns all violations in alphabetical order. */
  List<String> list() {
    return List.copyOf(found);
  }
}
