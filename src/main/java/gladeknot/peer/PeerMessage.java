package gladeknot.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * A message of a controller to the others: the quota deficits of one of its shards, the jobs whose
 * cancellation it has just committed, or its reachability. Loss or duplication of a message affects
 * only how soon quota is transferred and tasks are stopped.
 *
 * @param from the name of the sending controller
 * @param shard the shard that has the deficits; {@link #NO_SHARD} if the message is about no shard
 * @param term the term under which the sender owns that shard; 0 if the message is about no shard
 * @param deficits the teams' quota deficits in the shard
 * @param cancelledJobs the ids of cancelled jobs
 * @param reachability the sender's reachability, offers and acceptances
 */
public record PeerMessage(
    String from,
    int shard,
    long term,
    List<QuotaDeficit> deficits,
    List<String> cancelledJobs,
    Optional<PeerReachability> reachability) {
  /** The quota deficit of a team in a shard; CPUs and GPUs in thousandths. */
  public record QuotaDeficit(String team, long cpus, long gpus) {}

  /** Shard number of a message that is about no shard. */
  public static final int NO_SHARD = Integer.MAX_VALUE;

  /** Maximum number of deficits in a message; further ones wait for a later message. */
  static final int MAX_DEFICITS = 1000;

  /** Maximum number of jobs in a message; a sender with more jobs splits them over messages. */
  public static final int MAX_CANCELLED_JOBS = 500;

  /** Returns a message with the first {@link #MAX_DEFICITS} of a shard's quota deficits. */
  public static PeerMessage ofDeficits(
      String from, int shard, long term, List<QuotaDeficit> deficits) {
    List<QuotaDeficit> sent = deficits.subList(0, Math.min(deficits.size(), MAX_DEFICITS));
    return new PeerMessage(from, shard, term, List.copyOf(sent), List.of(), Optional.empty());
  }

  /** Returns a message about jobs whose cancellation is committed. */
  public static PeerMessage ofCancelledJobs(String from, List<String> ids) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), ids, Optional.empty());
  }

  /** Returns a message with a controller's reachability. */
  public static PeerMessage ofReachability(String from, PeerReachability reachability) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), List.of(), Optional.of(reachability));
  }

  /** Encodes the message as it is sent. */
  public byte[] encode() {
    return PeerMessageCodec.encode(this);
  }

  /**
   * Decodes a received message.
   *
   * @throws IOException if the message is malformed
   */
  public static PeerMessage decode(byte[] bytes) throws IOException {
    return PeerMessageCodec.decode(bytes);
  }
}
