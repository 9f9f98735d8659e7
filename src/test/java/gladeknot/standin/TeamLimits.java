package gladeknot.standin;

import gladeknot.settings.Settings;
import java.util.List;

/** The teams' limits that checkers use. A test may change them together with the settings. */
final class TeamLimits {
  private List<Settings.Team> teams;

  TeamLimits(List<Settings.Team> teams) {
    this.teams = List.copyOf(teams);
  }

  List<Settings.Team> teams() {
    return teams;
  }

  void change(List<Settings.Team> changed) {
    teams = List.copyOf(changed);
  }
}
