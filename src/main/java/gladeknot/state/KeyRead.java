package gladeknot.state;

/** Result of the read of one key from the state service. */
public sealed interface KeyRead {
  /** The key exists. */
  record Found(Entry entry) implements KeyRead {}

  /** The key does not exist. */
  record Absent() implements KeyRead {}

  /** The state service did not answer in time or could not serve the read. */
  record Failed() implements KeyRead {}
}
