package gladeknot.state;

import java.util.List;

/** Is notified of every change of the watch cache. */
public interface ChangeListener {
  /** Changes that arrived together; the cache reflects all of them already. */
  void onChanges(List<Change> changes);
}
