package gladeknot.lifecycle;

/** Says whether starts that a former owner of a shard committed may be carried out. */
@FunctionalInterface
public interface RestartLimit {
  /** Withholds nothing. */
  RestartLimit NONE = (team, shard) -> false;

  /** Whether a start of a team is to be withheld in a shard, as the shard's share is exceeded. */
  boolean withholds(String team, int shard);
}
