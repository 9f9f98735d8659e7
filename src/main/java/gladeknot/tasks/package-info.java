/**
 * The tasks of jobs: slices, attempts, and their stored form.
 *
 * <p>A slice holds the tasks of one job that one shard has to run. {@link
 * gladeknot.tasks.SliceRegistry} owns all slices with their attempts and loads them from the state
 * store's copy; {@link gladeknot.tasks.SegmentIndex} owns what is known of the segments that hold
 * their records. The stored forms are known to {@code SliceRecord}, {@code AttemptCodec}, {@code
 * TaskRanges}, {@code SegmentLayout} and {@link gladeknot.tasks.PackedValue} alone.
 *
 * <p>May use: jobs, state and tracing. Machines are reached through {@link
 * gladeknot.tasks.HostDirectory} only, because the workers build on this package.
 */
package gladeknot.tasks;
