package gladeknot.policy;

import gladeknot.settings.Settings;
import java.util.List;
import java.util.Map;

/** Settings from which the variables of policy rules are computed. */
final class TestSettings {
  static final Settings SETTINGS =
      new Settings(
          "n",
          "a",
          "h:1",
          "h:2",
          List.of(),
          "c:1",
          "s:1",
          List.of("a"),
          0,
          Map.of(),
          List.of(),
          new Settings.Workers(2_000_000, 14_000_000, 1, 1, 39_000_000),
          new Settings.StateLimits(1, 1, 1, 1),
          new Settings.StateLimits(1, 1, 1, 1),
          new Settings.CloudLimits(1, 1),
          1);

  private TestSettings() {}
}
