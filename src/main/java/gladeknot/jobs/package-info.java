/**
 * Accepted jobs, and users' requests about them.
 *
 * <p>{@link gladeknot.jobs.JobRegistry} mirrors the job records of the state service and determines
 * which jobs are active, held by their dependencies, or finished. {@link
 * gladeknot.jobs.JobRequestHandler} answers submissions, polls and cancellations; its only own
 * state is the requests that wait for a commit. The protocol's field names are confined to {@link
 * gladeknot.jobs.JobSpecCodec}, {@code SubmissionErrors} and {@code JobAnswers}, the stored form to
 * {@link gladeknot.jobs.JobRecordCodec}.
 *
 * <p>Uses {@code state}, {@code outbox}, {@code json}, {@code settings} and {@code tracing}; does
 * not depend on slices, attempts or workers.
 */
package gladeknot.jobs;
