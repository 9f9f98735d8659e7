package gladeknot.membership;

/**
 * The record under a controller's liveness key, which is attached to its state lease.
 *
 * @param incarnation the number of that lease, which identifies this life of the process
 * @param format the newest storage format that the process can read and write
 */
record LivenessRecord(long incarnation, int format) {}
