package gladeknot.lifecycle;

/** Decides whether starts that a former owner of a shard committed may be carried out. */
@FunctionalInterface
public interface RestartLimit {
  /** Withholds nothing. */
  RestartLimit NONE = (team, shard) -> false;

  /** Returns whether a team's starts in a shard are withheld because its share is exceeded. */
  boolean withholds(String team, int shard);
}
