package gladeknot.fleet;

/** A request for instances of one offering, from the first call to its final answer. */
final class ScaleOutRequest {
  /** How often the cloud is asked at most while it doesn't answer. */
  private static final int MAX_ATTEMPTS = 4;

  /** Where a request stands; the last two are final. */
  enum State {
    /** Sent once, and not answered yet. */
    PENDING,
    /** Sent again since no answer arrived; the instances may have been started. */
    RETRYING,
    /** All instances were started. */
    FULFILLED,
    /** Some instances or all were refused, or no answer arrived in the end. */
    FAILED
  }

  private final String name;
  private final InstanceOffering offering;
  private final int count;
  private final int shard;
  private int attempts = 1;
  private State state = State.PENDING;

  /**
   * A request to be sent.
   *
   * @param name never used before, also not by earlier incarnations: the cloud answers a name that
   *     it knows with the same instances
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

  /** Notes an answer, or that none arrived; returns the state that follows. */
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
