package gladeknot.peer;

import java.util.List;

/**
 * A controller's report on its links: the controllers whose messages it receives, the state service
 * and workers that it reaches, and the shards that it offers, accepts or has relinquished. Each
 * message is complete, so that a later message replaces lost ones. Messages are ordered by {@code
 * processStartMicros}, then by {@code sequence}.
 *
 * @param processStartMicros the time of day at which the sending process started, which identifies
 *     the process and is greater after each restart unless the clock was set back
 * @param sequence the number of the message in this process, from 1
 * @param stateSteady whether the sender steadily reaches the state service
 * @param observations the newest messages that controllers have received of each other
 * @param zones how well the sender reaches the workers of each zone
 * @param contacts the numbers of workers of other controllers' shards that have reported to the
 *     sender
 * @param offers the shards that the sender offers or has relinquished
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

  /** The score of how well the sender reaches the workers of a zone, from 0 to 100. */
  public record ZoneReachability(String zone, int percent) {}

  /** The number of workers of another controller's shard that recently reported to the sender. */
  public record ShardContact(int shard, int workers) {}

  /**
   * An offer to one controller of a shard that the owner, in the given incarnation, can't serve.
   * The shard is offered under every term up to the given one. Once it is {@code relinquished}, the
   * owner takes no further action under any of these terms.
   */
  public record ShardOffer(
      int shard, long incarnation, long term, String to, boolean relinquished) {}

  /** The acceptance of an offer by its receiver, which can take the shard over. */
  public record ShardAccept(int shard, long term, String from) {}

  /** Maximum number of entries of each list, which keeps a message below a connection's limit. */
  public static final int MAX_ENTRIES = 400;
}
