package gladeknot.app;

import gladeknot.membership.ShardListener;

/** Notifies the other components when this controller acquires or releases a shard. */
final class ShardOwnershipListener implements ShardListener {
  private final ControllerComponents components;

  ShardOwnershipListener(ControllerComponents components) {
    this.components = components;
  }

  @Override
  public void onAcquired(int shard) {
    components.committer.onAcquired(shard);
    components.connectivity.ifPresent(monitor -> monitor.onAcquired(shard));
    components.lifecycle.requestScheduling();
  }

  @Override
  public void onReleased(int shard) {
    components.committer.onReleased(shard);
    components.workers.resetSessions(shard);
    components.connectivity.ifPresent(monitor -> monitor.onReleased(shard));
  }

  @Override
  public boolean mostWorkersTimedOut(int shard) {
    return components.lifecycle.mostWorkersTimedOut(shard);
  }
}
