package gladeknot.state;

import java.util.List;

/**
 * The outcome of a transaction.
 *
 * @param status the result of the transaction
 * @param revision the revision at which the transaction was executed or, for a conflict, at which
 *     its preconditions were evaluated; -1 if the service returned none
 * @param conflictingKeys for a conflict, the keys whose preconditions failed; empty otherwise
 */
public record CommitOutcome(CommitStatus status, long revision, List<String> conflictingKeys) {}
