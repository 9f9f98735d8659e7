package gladeknot.fleet;

import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scale-out requests in flight. Planning counts their instances as machines until the final answer
 * arrives. Instances that the cloud has started are then registered.
 */
final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

  /** Maximum number of instances that the cloud's protocol allows in one request. */
  static final int MAX_INSTANCES = 50;

  /** Notified when a request yields fewer instances than requested. */
  interface FailureListener {
    void onScaleOutFailed();
  }

  private final Settings settings;
  private final Membership membership;
  private final CloudClient cloud;
  private final FleetClock clock;
  private final WorkerRegistration registration;
  private final FailureListener listener;
  private final List<ScaleOutRequest> inFlight = new ArrayList<>();
  private long requestCount;

  ScaleOutRequests(
      Settings settings,
      Membership membership,
      CloudClient cloud,
      FleetClock clock,
      WorkerRegistration registration,
      FailureListener listener) {
    this.settings = settings;
    this.membership = membership;
    this.cloud = cloud;
    this.clock = clock;
    this.registration = registration;
    this.listener = listener;
  }

  /** Returns the requests without a final answer, in the order in which they were sent. */
  List<ScaleOutRequest> inFlight() {
    return Collections.unmodifiableList(inFlight);
  }

  /** Returns the number of instances requested by the requests in flight. */
  int instancesInFlight() {
    int count = 0;
    for (ScaleOutRequest request : inFlight) {
      count += request.count();
    }
    return count;
  }

  /** Requests the instances of a plan for a shard, in as many calls as necessary. */
  void submit(ScaleOutPlan plan, int shard) {
    for (Map.Entry<InstanceOffering, Integer> planned : plan.counts().entrySet()) {
      for (int remaining = planned.getValue(); remaining > 0; remaining -= MAX_INSTANCES) {
        submit(planned.getKey(), Math.min(remaining, MAX_INSTANCES), shard);
      }
    }
  }

  private void submit(InstanceOffering offering, int count, int shard) {
    requestCount++;
    // Names never repeat: an incarnation number belongs to one process life of one controller.
    String name = settings.node() + "-" + membership.incarnation() + "-" + requestCount;
    ScaleOutRequest request = new ScaleOutRequest(name, offering, count, shard);
    // If the rate limit allows no call, the request is dropped. The next round plans anew.
    if (cloud.scaleOut(request, response -> onReply(request, response))) {
      inFlight.add(request);
      LOG.info(
          "scale-out requested request={} offering={} count={} shard={}",
          name,
          offering,
          count,
          shard);
    }
  }

  private void onReply(ScaleOutRequest request, CloudCodec.ScaleOutResponse response) {
    switch (request.onReply(response)) {
      case RETRYING -> {
        // The cloud may have fulfilled the request. For the same name it returns the instances that
        // it started before, and starts no others.
        cloud.retryScaleOut(request, retryResponse -> onReply(request, retryResponse));
        return;
      }
      case FULFILLED -> request.offering().onFulfilled();
      default -> onFailed(request, response);
    }
    inFlight.remove(request);
    registration.registerInstances(request, response.hosts());
  }

  private void onFailed(ScaleOutRequest request, CloudCodec.ScaleOutResponse response) {
    if (response.outOfCapacity()) {
      request.offering().onRefused(clock.nowMicros());
    } else {
      request.offering().onOutage(clock.nowMicros());
    }
    LOG.info(
        "scale-out failed request={} status={} started={} count={}",
        request.name(),
        response.httpStatus(),
        response.hosts().size(),
        request.count());
    listener.onScaleOutFailed();
  }
}
