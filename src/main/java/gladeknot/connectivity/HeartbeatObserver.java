package gladeknot.connectivity;

/** Hears of the workers' reports and of the answers to them. */
public interface HeartbeatObserver {
  /** Hears of nothing. */
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

  /** A report as it came: whose, and whether this controller acts for its shard. */
  record Arrival(
      String host, String zone, int shard, boolean owned, long incarnation, long sequence) {}

  /** A report has come that is newer than those before it. */
  void onHeartbeat(Arrival arrival);

  /** A report of a worker of ours is answered with 200. */
  void onAnswered(String host);

  /**
   * The controller that a worker of ours is sent to instead of an answer, to see whether it gets
   * through there; null if it is answered here.
   */
  String redirect(Arrival arrival, boolean idle);
}
