package gladeknot.workers;

/**
 * The record of a rented machine in the state service, encoded and decoded by {@link
 * WorkerRecordCodec}.
 *
 * @param shard the shard that the machine belongs to
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether the machine is a spot instance
 * @param launchedWallMicros the time of day at which the machine was registered, in microseconds
 * @param terminating whether the machine's release has been decided
 */
public record WorkerRecord(
    int shard,
    String type,
    String zone,
    boolean spot,
    long launchedWallMicros,
    boolean terminating) {
  /** Returns this record with another shard and terminating flag. */
  WorkerRecord with(int newShard, boolean newTerminating) {
    return new WorkerRecord(newShard, type, zone, spot, launchedWallMicros, newTerminating);
  }
}
