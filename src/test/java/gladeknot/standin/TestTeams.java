package gladeknot.standin;

import gladeknot.json.ResourceUnits;
import gladeknot.settings.Settings;

/** Teams of tests. */
public final class TestTeams {
  private TestTeams() {}

  /**
   * Returns a team whose guarantee and limit are given in thousandths of a CPU and a GPU; a limit
   * of 0 is none.
   */
  public static Settings.Team team(String name, long cpus, long cpusMax, long gpus, long gpusMax) {
    return new Settings.Team(
        name,
        ResourceUnits.ofThousandths(cpus),
        ResourceUnits.ofThousandths(cpusMax),
        ResourceUnits.ofThousandths(gpus),
        ResourceUnits.ofThousandths(gpusMax));
  }
}
