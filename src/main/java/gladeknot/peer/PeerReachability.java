package gladeknot.peer;

import java.util.List;

/**
 * What a controller says of its links: whose messages it receives, what it reaches, and which
 * shards it offers, would take, or has yielded. Each message holds all of it, so that a later one
 * makes up for those that were lost; {@code processStartMicros} and {@code sequence} order them.
 *
 * @param processStartMicros the number of the sending process, greater for each restart
 * @param sequence the number of the message in this process, from 1
 * @param stateSteady whether the sender reaches the state store steadily
 * @param observations the newest messages that controllers have received of each other
 * @param zones how well the workers of each zone are reached
 * @param contacts how many workers of other controllers' shards have reported to the sender
 * @param offers the shards that the sender offers
 * @param accepts the offers that the sender accepts
 */
public record PeerReachability(
    long processStartMicros,
    long sequence,
    boolean stateSteady,
    List<Observation> observations,
    List<ZoneReachability> zones,
    List<ShardContact> contacts,
    List<ShardOffer> offers,
    List<ShardAccept> accepts) {
  /** The newest message of {@code subject} that {@code observer} has received. */
  public record Observation(
      String observer, String subject, long processStartMicros, long sequence) {}

  /** How well the workers of a zone are reached, from 0 to 100. */
  public record ZoneReachability(String zone, int percent) {}

  /** How many workers of a shard of another controller have reported to the sender of late. */
  public record ShardContact(int shard, int workers) {}

  /**
   * A shard that its owner, in one life of its process, can't use, offered to one controller under
   * every term up to the given one. Once {@code relinquished}, the owner does nothing more under
   * any of these.
   */
  public record ShardOffer(
      int shard, long incarnation, long term, String to, boolean relinquished) {}

  /** An offer that its receiver can make use of. */
  public record ShardAccept(int shard, long term, String from) {}

  /** The most entries of each list, so that a message stays below a connection's limit. */
  public static final int MAX_ENTRIES = 400;
}
