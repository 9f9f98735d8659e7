package gladeknot.app;

import gladeknot.jobs.Job;
import gladeknot.membership.StorageFormat;
import gladeknot.state.Change;
import gladeknot.state.ChangeListener;
import gladeknot.tasks.SegmentLayout;
import gladeknot.workers.WorkerRecordCodec;
import java.util.List;

/** Hands changes of the watch cache to the parts that own the records, by key. */
final class StateChangeDispatcher implements ChangeListener {
  private final ControllerComponents components;

  StateChangeDispatcher(ControllerComponents components) {
    this.components = components;
  }

  /**
   * Dispatches changes that arrived together: first where each slice is stored, then jobs, since
   * slices are decoded by what is known of their jobs, then slices and all else.
   */
  @Override
  public void onChanges(List<Change> changes) {
    dispatchSegments(changes);
    dispatchJobs(changes);
    dispatchSlicesAndWorkers(changes);
  }

  @Override
  public void onRevisionReached() {
    components.membership.format().onRevisionReached();
  }

  private void dispatchSegments(List<Change> changes) {
    for (Change change : changes) {
      if (isSegment(change)) {
        components.slices.onSegmentChange(change);
      } else if (change.key().equals(StorageFormat.key())) {
        components.membership.format().onChange();
      }
    }
  }

  private void dispatchJobs(List<Change> changes) {
    for (Change change : changes) {
      if (isJob(change)) {
        components.jobs.onChange(change.key(), change.after());
      }
    }
  }

  private void dispatchSlicesAndWorkers(List<Change> changes) {
    for (Change change : changes) {
      if (isSegment(change)) {
        components.lifecycle.onSegmentChange(change.key());
      } else if (change.key().startsWith(WorkerRecordCodec.KEY_PREFIX)) {
        components.workers.onChange(change.key(), change.before(), change.after());
        components.lifecycle.requestScheduling();
      } else if (!isJob(change)) {
        components.lifecycle.requestScheduling();
      }
    }
  }

  private static boolean isSegment(Change change) {
    return change.key().startsWith(SegmentLayout.KEY_PREFIX);
  }

  private static boolean isJob(Change change) {
    return change.key().startsWith(Job.KEY_PREFIX);
  }
}
