package gladeknot.state;

import java.util.List;

/** Is notified of every change of the watch cache, and of the revisions that the watch reaches. */
public interface ChangeListener {
  /** Changes that arrived together; the cache reflects all of them already. */
  void onChanges(List<Change> changes);

  /** The cache holds all changes up to a new revision; those up to it have been notified. */
  default void onRevisionReached() {}
}
