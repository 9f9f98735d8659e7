package gladeknot.settings;

/** Quantity that a service-level objective measures, with its name in the settings file. */
public enum ObjectiveKind {
  /** Time from a job's submission until its tasks run. */
  WAIT("wait"),
  /** Completion of jobs that have a deadline within a multiple of that deadline. */
  DEADLINE("deadline"),
  /** Time from a job's submission until it is completed. */
  FINISHED("finished"),
  /** Fraction of the time in which a team has the resources that its guarantee promises. */
  GUARANTEE("guarantee"),
  /** Any other kind. The settings file may contain it; no decision depends on it. */
  OTHER("");

  private final String settingName;

  ObjectiveKind(String settingName) {
    this.settingName = settingName;
  }

  /** Returns the kind with this name in the settings file; {@link #OTHER} if unknown or null. */
  static ObjectiveKind ofSettingName(String settingName) {
    for (ObjectiveKind kind : values()) {
      if (kind != OTHER && kind.settingName.equals(settingName)) {
        return kind;
      }
    }
    return OTHER;
  }
}
