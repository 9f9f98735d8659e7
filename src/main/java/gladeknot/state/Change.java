package gladeknot.state;

/**
 * A change of one key in the watch cache.
 *
 * @param key the full key
 * @param before the previous entry, or null if the key was absent
 * @param after the new entry, or null if the key was deleted
 */
public record Change(String key, Entry before, Entry after) {}
