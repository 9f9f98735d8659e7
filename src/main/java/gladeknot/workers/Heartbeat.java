package gladeknot.workers;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A worker's heartbeat; {@link HeartbeatCodec} reads it.
 *
 * @param host the machine's name
 * @param endpoint where the worker takes direct commands, as host:port
 * @param type the name of the machine's type
 * @param zone the zone that the machine is in
 * @param spot whether it is a spot instance
 * @param incarnation starts at 1 and increases each time the worker's lease expires
 * @param sequence increases with every message of the worker's
 * @param fencingToken the highest token that the worker has seen; 0 at first
 * @param reclaimInSeconds when the cloud takes the machine back; empty if it has given no notice
 * @param tasks the tasks on the machine, with exited ones until they are purged
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
   * @param phase what it is doing
   * @param phaseText the phase as the worker spelled it, for traces
   * @param cause why it has ended; {@link EndCause#OTHER} while it has not
   * @param causeText the cause as the worker spelled it, for logs and traces; empty if it gave none
   */
  public record TaskStatus(
      String name,
      long attempt,
      TaskPhase phase,
      String phaseText,
      EndCause cause,
      String causeText) {
    /** The job that it belongs to. */
    public String job() {
      return name.substring(0, name.lastIndexOf('/'));
    }

    /** Whether it has exited. */
    public boolean ended() {
      return phase == TaskPhase.ENDED;
    }
  }

  /** Whether it was sent after another message of the same worker. */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
