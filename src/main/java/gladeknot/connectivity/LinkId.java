package gladeknot.connectivity;

import java.util.Locale;

/** A link of this controller; the name is that of a member or zone, and empty for services. */
public record LinkId(Kind kind, String name) {
  /** The kind of the other end. */
  public enum Kind {
    /** The state service. */
    STATE,
    /** The cloud. */
    CLOUD,
    /** Another controller. */
    PEER,
    /** The workers of the owned shards in one zone, as a group. */
    WORKERS
  }

  /** The link to the state service. */
  public static final LinkId STATE = new LinkId(Kind.STATE, "");

  /** The link to the cloud. */
  public static final LinkId CLOUD = new LinkId(Kind.CLOUD, "");

  /** Returns the link to another controller. */
  public static LinkId peer(String node) {
    return new LinkId(Kind.PEER, node);
  }

  /** Returns the link to the workers of a zone. */
  public static LinkId workers(String zone) {
    return new LinkId(Kind.WORKERS, zone);
  }

  @Override
  public String toString() {
    String kindName = kind.name().toLowerCase(Locale.ROOT);
    return name.isEmpty() ? kindName : kindName + "/" + name;
  }
}
