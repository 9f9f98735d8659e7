package gladeknot.standin;

import java.util.function.BiPredicate;

/** Decides which tasks of a simulation fail instead of completing. Initially none do. */
final class TaskFailures {
  private BiPredicate<String, String> failing = (host, task) -> false;

  /** Sets the condition, on a machine's name and a task's name, under which a task fails. */
  void failIf(BiPredicate<String, String> condition) {
    failing = condition;
  }

  boolean fails(String host, String task) {
    return failing.test(host, task);
  }
}
