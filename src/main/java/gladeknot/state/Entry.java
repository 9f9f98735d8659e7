package gladeknot.state;

import java.util.Map;

/**
 * The value of one key of the state service.
 *
 * @param data the stored JSON object; never null, and not to be changed
 * @param modRevision the revision of the store that last changed the key; above 0
 */
public record Entry(Map<String, Object> data, long modRevision) {}
