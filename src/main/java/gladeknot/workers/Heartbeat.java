package gladeknot.workers;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A worker's heartbeat, decoded by {@link HeartbeatCodec}.
 *
 * @param host the machine's name
 * @param endpoint the worker's address for direct commands, as host:port
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether the machine is a spot instance
 * @param incarnation the worker's incarnation; starts at 1 and increases each time the worker's
 *     lease expires
 * @param sequence the number of the message; increases with every message from the worker
 * @param fencingToken the highest fencing token that the worker has seen; 0 initially
 * @param reclaimInSeconds seconds until the cloud reclaims the machine; empty if the cloud has
 *     given no notice
 * @param tasks the tasks on the machine, including exited tasks until they are purged
 */
public record Heartbeat(
    String host,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long fencingToken,
    OptionalDouble reclaimInSeconds,
    List<TaskStatus> tasks) {

  /**
   * A task on the machine.
   *
   * @param name the task's name: job, slash, number
   * @param attempt the attempt number
   * @param phase the task's phase
   * @param phaseText the phase as the worker spelled it, for traces
   * @param cause the reason for which the task exited; {@link EndCause#OTHER} while it has not
   *     exited
   * @param causeText the cause as the worker spelled it, for logs and traces; empty if the worker
   *     gave none
   */
  public record TaskStatus(
      String name,
      long attempt,
      TaskPhase phase,
      String phaseText,
      EndCause cause,
      String causeText) {
    /** Returns the id of the task's job. */
    public String job() {
      return name.substring(0, name.lastIndexOf('/'));
    }

    /** Returns whether the task has exited. */
    public boolean ended() {
      return phase == TaskPhase.ENDED;
    }
  }

  /**
   * Returns whether this heartbeat was sent after another message of the same worker, given by its
   * incarnation and sequence number.
   */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
