package gladeknot.jobs;

/**
 * Progress of a job, for display.
 *
 * @param done tasks that committed records show as completed
 * @param running tasks that are assigned to a worker and have not ended
 */
public record TaskCounts(int done, int running) {}
