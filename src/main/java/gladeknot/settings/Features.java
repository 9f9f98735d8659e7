package gladeknot.settings;

import java.util.Optional;

/**
 * The features that are turned on, each with its settings.
 *
 * @param partialCuts the settings for partial partitions; empty if the feature is off
 */
public record Features(Optional<PartialCuts> partialCuts) {
  /** All features off. */
  public static final Features NONE = new Features(Optional.empty());
}
