package gladeknot.state;

/** Result of the read of the one key that exists among some keys of the state service. */
public sealed interface KeyRead {
  /** One key exists. */
  record Found(Entry entry) implements KeyRead {}

  /** None of the keys exists. */
  record Absent() implements KeyRead {}

  /** The state service did not answer in time or could not serve the read. */
  record Failed() implements KeyRead {}
}
