package gladeknot.http;

import gladeknot.outbox.Outbox;
import io.netty.channel.Channel;
import java.util.concurrent.Future;

/** A call in progress; it ends exactly once, with a reply or without. */
final class HttpExchange {
  private static final int NO_REPLY_STATUS = 0;
  private static final byte[] NO_BODY = new byte[0];

  private final Outbox.Call call;
  private final HttpCaller.Handler handler;
  private Future<?> timeout;
  private Channel channel;
  private boolean ended;

  HttpExchange(Outbox.Call call, HttpCaller.Handler handler) {
    this.call = call;
    this.handler = handler;
  }

  Outbox.Call call() {
    return call;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Sets the timeout that ends the exchange unless a reply comes first. */
  void setTimeout(Future<?> scheduledTimeout) {
    timeout = scheduledTimeout;
  }

  /** Sets the connection that the request is sent on. */
  void setChannel(Channel usedChannel) {
    channel = usedChannel;
  }

  void endWithReply(int status, byte[] body) {
    end(status, body);
  }

  /** Ends without a reply and closes the connection, since a late reply might still come on it. */
  void endWithoutReply() {
    end(NO_REPLY_STATUS, NO_BODY);
  }

  private void end(int status, byte[] body) {
    if (ended) {
      return;
    }
    ended = true;
    timeout.cancel(false);
    if (status == NO_REPLY_STATUS && channel != null) {
      channel.close();
    }
    handler.onReply(call.id(), new Outbox.Reply(status, body));
  }
}
