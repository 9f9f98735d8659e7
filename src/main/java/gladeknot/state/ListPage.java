package gladeknot.state;

import java.util.List;

/**
 * One page of a list of the state service.
 *
 * @param revision the revision at which the page was read
 * @param keys the keys in their order
 * @param more whether further keys follow
 */
public record ListPage(long revision, List<ListedKey> keys, boolean more) {}
