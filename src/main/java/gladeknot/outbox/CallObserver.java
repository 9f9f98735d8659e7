package gladeknot.outbox;

/** Hears of every call that the controller makes to other services, and of its end. */
public interface CallObserver {
  /** Hears of nothing. */
  CallObserver NONE =
      new CallObserver() {
        @Override
        public void called(Outbox.Call call) {}

        @Override
        public void replied(long callId, int status) {}
      };

  /** A call is handed to the event loop. */
  void called(Outbox.Call call);

  /** A call has ended; status 0 says that no reply came. */
  void replied(long callId, int status);
}
