package gladeknot.state;

import java.util.List;

/**
 * The outcome of a transaction.
 *
 * @param status how it ended
 * @param revision the revision at which it was executed, or for a conflict the one at which its
 *     conditions were evaluated; -1 if the service named none
 * @param conflictingKeys for a conflict, the keys whose condition failed; empty otherwise
 */
public record CommitOutcome(CommitStatus status, long revision, List<String> conflictingKeys) {}
