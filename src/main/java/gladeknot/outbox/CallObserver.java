package gladeknot.outbox;

/** Observer of the controller's calls to other services and of their replies. */
public interface CallObserver {
  /** An observer that does nothing. */
  CallObserver NONE =
      new CallObserver() {
        @Override
        public void called(Outbox.Call call) {}

        @Override
        public void replied(long callId, int status) {}
      };

  /** Called when a call is added to the outbox. */
  void called(Outbox.Call call);

  /** Called when a call has ended; status 0 means that there was no reply. */
  void replied(long callId, int status);
}
