package gladeknot.settings;

import java.util.Optional;

/** The features that are turned on, each with its settings. */
public record Features(Optional<PartialCuts> partialCuts) {
  /** No feature beyond what every controller does. */
  public static final Features NONE = new Features(Optional.empty());
}
