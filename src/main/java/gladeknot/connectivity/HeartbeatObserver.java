package gladeknot.connectivity;

/** Is notified of the workers' heartbeats and of the responses to them. */
public interface HeartbeatObserver {
  /** Observes nothing. */
  HeartbeatObserver NONE =
      new HeartbeatObserver() {
        @Override
        public void onHeartbeat(Arrival arrival) {}

        @Override
        public void onAnswered(String host) {}

        @Override
        public String redirect(Arrival arrival, boolean idle) {
          return null;
        }
      };

  /** A heartbeat that arrived; {@code owned} if this controller acts for the worker's shard. */
  record Arrival(
      String host, String zone, int shard, boolean owned, long incarnation, long sequence) {}

  /** A heartbeat has arrived that is newer than those before it. */
  void onHeartbeat(Arrival arrival);

  /** The heartbeat of a worker of an owned shard is answered with 200. */
  void onAnswered(String host);

  /**
   * The controller to which a worker of an owned shard is redirected as a canary, to see whether it
   * gets through there; null, as for nearly every heartbeat, if it is answered here.
   */
  String redirect(Arrival arrival, boolean idle);
}
