package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;

/**
 * What decides which tasks may be preempted for a job. Jobs with equal requests may preempt the
 * same tasks.
 *
 * @param priority the job's own priority, not an inherited one
 * @param team the job's team
 * @param guaranteed whether the job is within its team's guarantee
 * @param equalPriority whether it has waited so long that tasks of its own priority may be
 *     preempted too
 */
record PreemptionRequest(
    JobSpec.Priority priority, String team, boolean guaranteed, boolean equalPriority) {}
