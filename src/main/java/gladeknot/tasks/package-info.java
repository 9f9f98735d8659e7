/**
 * The tasks of jobs: slices, attempts, and their stored form.
 *
 * <p>A slice holds the tasks of one job that are assigned to one shard. {@link
 * gladeknot.tasks.SliceRegistry} owns all slices with their attempts and loads them from the watch
 * cache. {@link gladeknot.tasks.SegmentIndex} tracks the segments that hold their records. Only
 * {@code SliceRecord}, {@code AttemptCodec}, {@code TaskRanges}, {@code SegmentLayout} and {@link
 * gladeknot.tasks.PackedValue} depend on the stored forms.
 *
 * <p>May use: jobs, state and tracing. Machines are accessed only through {@link
 * gladeknot.tasks.HostDirectory}, because the package of the workers depends on this package.
 */
package gladeknot.tasks;
