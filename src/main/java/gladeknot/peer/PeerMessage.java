package gladeknot.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * A message of a controller to the others: the quota deficits of one of its shards, jobs whose
 * cancellation it has just committed, or what it reaches. A message that is lost or comes twice
 * changes nothing but how soon quota is transferred and tasks are stopped.
 *
 * @param from the name of the sending controller
 * @param shard the shard that the deficits are of; {@link #NO_SHARD} if the message is about none
 * @param term the term under which the sender owns that shard; 0 if the message is about none
 * @param deficits what the teams' quota lacks in the shard
 * @param cancelledJobs the ids of cancelled jobs
 * @param reachability what the sender reaches
 */
public record PeerMessage(
    String from,
    int shard,
    long term,
    List<QuotaDeficit> deficits,
    List<String> cancelledJobs,
    Optional<PeerReachability> reachability) {
  /** What a team's quota lacks in a shard; CPUs and GPUs in thousandths. */
  public record QuotaDeficit(String team, long cpus, long gpus) {}

  /** In place of a shard in a message that is about none. */
  public static final int NO_SHARD = Integer.MAX_VALUE;

  /** How many deficits one message holds; the others wait for a later one. */
  static final int MAX_DEFICITS = 1000;

  /** How many jobs one message holds; a sender of more splits them. */
  public static final int MAX_CANCELLED_JOBS = 500;

  /** A message about a shard's quota; what exceeds {@link #MAX_DEFICITS} is left out. */
  public static PeerMessage ofDeficits(
      String from, int shard, long term, List<QuotaDeficit> deficits) {
    List<QuotaDeficit> sent = deficits.subList(0, Math.min(deficits.size(), MAX_DEFICITS));
    return new PeerMessage(from, shard, term, List.copyOf(sent), List.of(), Optional.empty());
  }

  /** A message about jobs whose cancellation is committed. */
  public static PeerMessage ofCancelledJobs(String from, List<String> ids) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), ids, Optional.empty());
  }

  /** A message about what a controller reaches. */
  public static PeerMessage ofReachability(String from, PeerReachability reachability) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), List.of(), Optional.of(reachability));
  }

  /** The message in the form in which it is sent. */
  public byte[] encode() {
    return PeerMessageCodec.encode(this);
  }

  /**
   * Reads a received message.
   *
   * @throws IOException if it is malformed
   */
  public static PeerMessage decode(byte[] bytes) throws IOException {
    return PeerMessageCodec.decode(bytes);
  }
}
