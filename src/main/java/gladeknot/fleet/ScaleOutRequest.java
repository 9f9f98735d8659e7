package gladeknot.fleet;

/** A request for instances of one offering, from the first call to its final answer. */
final class ScaleOutRequest {
  /** Maximum number of calls for one request while the cloud doesn't answer. */
  private static final int MAX_ATTEMPTS = 4;

  /** The state of a request. {@link #FULFILLED} and {@link #FAILED} are final. */
  enum State {
    /** Sent once and not answered yet. */
    PENDING,
    /** Sent again because no answer arrived. The instances may have been started. */
    RETRYING,
    /** All instances were started. */
    FULFILLED,
    /** Some or all instances were refused, or no answer arrived to any of the calls. */
    FAILED
  }

  private final String name;
  private final InstanceOffering offering;
  private final int count;
  private final int shard;
  private int attempts = 1;
  private State state = State.PENDING;

  /**
   * Creates a request that is to be sent.
   *
   * @param name a name that was never used before, not even by earlier incarnations: the cloud
   *     answers a repeated name with the instances that it started for the first request
   * @param shard the shard whose owner requests the instances
   */
  ScaleOutRequest(String name, InstanceOffering offering, int count, int shard) {
    this.name = name;
    this.offering = offering;
    this.count = count;
    this.shard = shard;
  }

  String name() {
    return name;
  }

  InstanceOffering offering() {
    return offering;
  }

  int count() {
    return count;
  }

  int shard() {
    return shard;
  }

  State state() {
    return state;
  }

  /** Records an answer, or that none arrived. Returns the new state of the request. */
  State onReply(CloudCodec.ScaleOutResponse response) {
    if (!response.answered() && attempts < MAX_ATTEMPTS) {
      attempts++;
      state = State.RETRYING;
    } else {
      state = response.fulfils(count) ? State.FULFILLED : State.FAILED;
    }
    return state;
  }
}
