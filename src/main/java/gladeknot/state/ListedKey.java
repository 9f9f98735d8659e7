package gladeknot.state;

/** One key of a list of the state service with its entry. */
public record ListedKey(String key, Entry entry) {}
