package gladeknot.connectivity;

/** Observes the workers' heartbeats and the responses to them. */
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

  /** A received heartbeat; {@code owned} if this controller owns the worker's shard. */
  record Arrival(
      String host, String zone, int shard, boolean owned, long incarnation, long sequence) {}

  /** Handles a heartbeat that is newer than all earlier ones of its worker. */
  void onHeartbeat(Arrival arrival);

  /** Called when a heartbeat of a worker of an owned shard is answered with 200. */
  void onAnswered(String host);

  /**
   * Returns the controller to which a worker of an owned shard is redirected as a canary, to test
   * whether the worker can reach that controller. Returns null if the heartbeat is answered here,
   * as nearly all are.
   */
  String redirect(Arrival arrival, boolean idle);
}
