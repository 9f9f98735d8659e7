package gladeknot.standin;

import gladeknot.settings.Features;
import gladeknot.settings.PartialCuts;
import java.util.Optional;

/** Feature settings for tests, without status listeners and trace files. */
public final class FeatureSettings {
  private static final long SECOND_MICROS = 1_000_000;

  private FeatureSettings() {}

  /** Returns the feature partial-cuts with the values of its shipped file. */
  public static Features partialCuts() {
    return new Features(
        Optional.of(
            new PartialCuts(
                new PartialCuts.Links(
                    3 * SECOND_MICROS / 2, 4 * SECOND_MICROS, 5 * SECOND_MICROS, SECOND_MICROS),
                new PartialCuts.Damping(1000, 2000, 800, 30 * SECOND_MICROS, 60 * SECOND_MICROS),
                new PartialCuts.Handover(true, SECOND_MICROS, 30 * SECOND_MICROS),
                Optional.empty(),
                Optional.empty())));
  }
}
