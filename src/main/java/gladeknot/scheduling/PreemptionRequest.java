package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;

/**
 * Properties of a job that determine which tasks may be preempted for it. Jobs with equal requests
 * may preempt the same tasks.
 *
 * @param priority the job's own priority, not an inherited one
 * @param team the job's team
 * @param guaranteed whether the job is within its team's guarantee
 * @param equalPriority whether the job has waited long enough to preempt tasks of its own priority
 *     too
 */
record PreemptionRequest(
    JobSpec.Priority priority, String team, boolean guaranteed, boolean equalPriority) {}
