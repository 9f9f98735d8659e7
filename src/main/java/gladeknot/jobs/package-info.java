/**
 * Accepted jobs, and the users' requests about them.
 *
 * <p>{@link gladeknot.jobs.JobRegistry} mirrors the job records of the state store and works out
 * which jobs are active, held by their dependencies, or finished. {@link
 * gladeknot.jobs.JobRequestHandler} answers submissions, polls and cancellations; the requests that
 * wait for a commit are the only state of its own. The protocol's field names are confined to
 * {@link gladeknot.jobs.JobSpecCodec}, {@code SubmissionErrors} and {@code JobAnswers}, the stored
 * form to {@link gladeknot.jobs.JobRecordCodec}.
 *
 * <p>Uses {@code state}, {@code outbox}, {@code json}, {@code settings} and {@code tracing}; knows
 * nothing of slices, attempts or workers.
 */
package gladeknot.jobs;
