package gladeknot.app;

import gladeknot.jobs.Job;
import gladeknot.membership.StorageFormat;
import gladeknot.state.Change;
import gladeknot.state.ChangeListener;
import gladeknot.tasks.SegmentLayout;
import gladeknot.workers.WorkerRecordCodec;
import java.util.List;

/** Dispatches changes of the watch cache by key to the components that own the records. */
final class StateChangeDispatcher implements ChangeListener {
  private final ControllerComponents components;

  StateChangeDispatcher(ControllerComponents components) {
    this.components = components;
  }

  /**
   * Dispatches changes that arrived together, in three passes: first the storage location of each
   * slice and the storage format, then jobs, then slices and all other records. Slices come after
   * jobs because decoding a slice requires its job.
   */
  @Override
  public void onChanges(List<Change> changes) {
    if (components.membership.otherShardCount().isPresent()) {
      // The components are built anew before they can act, and read everything again.
      return;
    }
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
