package gladeknot.app;

import com.google.common.collect.Lists;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRequestHandler;
import gladeknot.jobs.JobSpec;
import gladeknot.jobs.TaskCounts;
import gladeknot.peer.PeerMessage;
import java.util.List;

/** Gives the job request handler its view of machine types, shards and tasks. */
final class JobClusterView implements JobRequestHandler.ClusterView {
  private final ControllerComponents components;
  private final String node;

  JobClusterView(ControllerComponents components, String node) {
    this.components = components;
    this.node = node;
  }

  @Override
  public boolean typesKnown() {
    return components.catalog.isKnown();
  }

  @Override
  public boolean fitsSomeType(JobSpec spec) {
    return components.catalog.fitsSomeType(spec);
  }

  @Override
  public int homeShard(JobSpec spec) {
    return components.homeShards.home(spec);
  }

  @Override
  public TaskCounts taskCounts(Job job) {
    return components.lifecycle.taskCounts(job);
  }

  @Override
  public String refusal() {
    return components.membership.authority().refusal();
  }

  @Override
  public void announceCancelled(List<String> ids) {
    for (List<String> batch : Lists.partition(ids, PeerMessage.MAX_CANCELLED_JOBS)) {
      components.outbox.sendToPeers(PeerMessage.ofCancelledJobs(node, batch));
    }
  }
}
