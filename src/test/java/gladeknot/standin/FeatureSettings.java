package gladeknot.standin;

import gladeknot.settings.Features;
import gladeknot.settings.PartialCuts;
import java.util.Optional;

/** Settings of features as tests use them, without listeners and files. */
public final class FeatureSettings {
  private static final long SECOND = 1_000_000;

  private FeatureSettings() {}

  /** The feature partial-cuts with the values that its file ships. */
  public static Features partialCuts() {
    return new Features(
        Optional.of(
            new PartialCuts(
                new PartialCuts.Links(3 * SECOND / 2, 4 * SECOND, 5 * SECOND, SECOND),
                new PartialCuts.Damping(1000, 2000, 800, 30 * SECOND, 60 * SECOND),
                new PartialCuts.Handover(true, SECOND, 30 * SECOND),
                Optional.empty(),
                Optional.empty())));
  }
}
