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
 * Scale-out requests in flight. Their instances count as coming until the answer is known; those
 * that the cloud started are registered.
 */
final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

  /** The most instances that the protocol lets one request ask for. */
  static final int MAX_INSTANCES = 50;

  /** Learns of requests that brought fewer instances than requested. */
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

  /** The requests without a final answer, in the order in which they were sent. */
  List<ScaleOutRequest> inFlight() {
    return Collections.unmodifiableList(inFlight);
  }

  /** How many instances are requested and not answered for. */
  int instancesInFlight() {
    int count = 0;
    for (ScaleOutRequest request : inFlight) {
      count += request.count();
    }
    return count;
  }

  /** Requests what a plan holds for a shard, with as many calls as that takes. */
  void submit(ScaleOutPlan plan, int shard) {
    for (Map.Entry<InstanceOffering, Integer> planned : plan.counts().entrySet()) {
      for (int rest = planned.getValue(); rest > 0; rest -= MAX_INSTANCES) {
        submit(planned.getKey(), Math.min(rest, MAX_INSTANCES), shard);
      }
    }
  }

  private void submit(InstanceOffering offering, int count, int shard) {
    requestCount++;
    // Names never repeat: an incarnation's number belongs to one life of one controller.
    String name = settings.node() + "-" + membership.incarnation() + "-" + requestCount;
    ScaleOutRequest request = new ScaleOutRequest(name, offering, count, shard);
    // Without a call left the request is dropped: the next round plans anew.
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
        // Perhaps fulfilled: the same name brings the same instances and starts no others.
        cloud.retryScaleOut(request, again -> onReply(request, again));
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
