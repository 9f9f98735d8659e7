package gladeknot.state;

import java.util.Map;

/**
 * The value of one key of the state service.
 *
 * @param data the stored JSON object; never null, must not be changed
 * @param modRevision the revision of the last change of the key; greater than 0
 */
public record Entry(Map<String, Object> data, long modRevision) {}
