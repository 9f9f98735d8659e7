package gladeknot.connectivity;

import java.util.Locale;

/** One link of this controller; the name is a member's or a zone's, and empty for services. */
public record LinkId(Kind kind, String name) {
  /** What is at the other end. */
  public enum Kind {
    STATE,
    CLOUD,
    PEER,
    /** The workers of the shards that are ours, as a population by zone. */
    WORKERS
  }

  public static final LinkId STATE = new LinkId(Kind.STATE, "");
  public static final LinkId CLOUD = new LinkId(Kind.CLOUD, "");

  public static LinkId peer(String node) {
    return new LinkId(Kind.PEER, node);
  }

  public static LinkId workers(String zone) {
    return new LinkId(Kind.WORKERS, zone);
  }

  @Override
  public String toString() {
    String word = kind.name().toLowerCase(Locale.ROOT);
    return name.isEmpty() ? word : word + "/" + name;
  }
}
