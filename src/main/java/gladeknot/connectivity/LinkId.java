package gladeknot.connectivity;

import java.util.Locale;

/** One link of this controller; the name is a member's or a zone's, and empty for services. */
public record LinkId(Kind kind, String name) {
  /** What is at the other end. */
  public enum Kind {
    /** The state service. */
    STATE,
    /** The cloud. */
    CLOUD,
    /** Another controller. */
    PEER,
    /** The workers of the owned shards, as a population by zone. */
    WORKERS
  }

  /** The link to the state service. */
  public static final LinkId STATE = new LinkId(Kind.STATE, "");

  /** The link to the cloud. */
  public static final LinkId CLOUD = new LinkId(Kind.CLOUD, "");

  /** The link to another controller. */
  public static LinkId peer(String node) {
    return new LinkId(Kind.PEER, node);
  }

  /** The link to the workers of a zone. */
  public static LinkId workers(String zone) {
    return new LinkId(Kind.WORKERS, zone);
  }

  @Override
  public String toString() {
    String word = kind.name().toLowerCase(Locale.ROOT);
    return name.isEmpty() ? word : word + "/" + name;
  }
}
