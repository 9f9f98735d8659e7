package gladeknot.settings;

/** What a service-level objective measures; the settings file names it by a word. */
public enum ObjectiveKind {
  /** The time from a job's submission until its tasks run. */
  WAIT("wait"),
  /** Whether jobs with a deadline are done within a multiple of it. */
  DEADLINE("deadline"),
  /** The time from a job's submission until it is done. */
  FINISHED("finished"),
  /** The share of the time in which a team has the resources of its guarantee. */
  GUARANTEE("guarantee"),
  /** Any other kind; the settings file may hold it, and no decision depends on it. */
  OTHER("");

  private final String word;

  ObjectiveKind(String word) {
    this.word = word;
  }

  /** The kind that a settings file names; {@link #OTHER} for a word that is not known, or null. */
  static ObjectiveKind ofWord(String word) {
    for (ObjectiveKind kind : values()) {
      if (kind != OTHER && kind.word.equals(word)) {
        return kind;
      }
    }
    return OTHER;
  }
}
