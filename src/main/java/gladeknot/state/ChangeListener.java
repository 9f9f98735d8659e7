package gladeknot.state;

import java.util.List;

/** Listener for changes of the watch cache and for the revisions that the watch reaches. */
public interface ChangeListener {
  /** Called with changes that arrived together. The cache already reflects all of them. */
  void onChanges(List<Change> changes);

  /**
   * Called when the cache holds all changes up to a new revision. {@link #onChanges} has already
   * been called for all of them.
   */
  default void onRevisionReached() {}
}
