package gladeknot.workers;

/**
 * What the state store holds for a rented machine; {@link WorkerRecordCodec} reads and writes it.
 *
 * @param shard the shard that the machine belongs to
 * @param type the name of its machine type
 * @param zone the zone that it is in
 * @param spot whether it is a spot instance
 * @param launchedWallMicros the time of day at which it was registered, in microseconds
 * @param terminating whether its release has been decided
 */
public record WorkerRecord(
    int shard,
    String type,
    String zone,
    boolean spot,
    long launchedWallMicros,
    boolean terminating) {}
