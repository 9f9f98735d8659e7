package gladeknot.http;

import gladeknot.outbox.Outbox;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Calls other services over persistent connections, with one request at a time on each. */
public final class HttpCaller {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final long MAX_CONNECT_TIMEOUT_MILLIS = 2000;
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * Maximum number of idle connections to all addresses together. Commands reach every machine
   * sooner or later; one idle connection per machine would use up the sockets that workers and
   * users need.
   */
  static final int MAX_IDLE_CONNECTIONS = 64;

  /** Receives the replies to calls. */
  public interface Handler {
    /** Handles the reply to a call, on the event loop's thread; status 0 means that none came. */
    void onReply(long id, Outbox.Reply reply);
  }

  private final EventLoopGroup group;
  private final Handler handler;
  private final IdleConnections idleConnections = new IdleConnections(MAX_IDLE_CONNECTIONS);

  /** Creates a caller that passes replies to the handler, on a thread of the group. */
  public HttpCaller(EventLoopGroup group, Handler handler) {
    this.group = group;
    this.handler = handler;
  }

  /** Sends a call; the handler always gets a reply or status 0 within the call's timeout. */
  public void call(Outbox.Call call) {
    Channel idle = idleConnections.take(call.address());
    HttpExchange exchange = new HttpExchange(call, handler);
    exchange.setTimeout(
        group
            .next()
            .schedule(exchange::endWithoutReply, call.timeoutMicros(), TimeUnit.MICROSECONDS));
    if (idle != null) {
      send(idle, exchange);
    } else {
      connect(exchange);
    }
  }

  private void connect(HttpExchange exchange) {
    Outbox.Call call = exchange.call();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis(call))
        .handler(new ConnectionInitializer())
        .connect(parseAddress(call.address()))
        .addListener((ChannelFuture connectFuture) -> onConnectComplete(connectFuture, exchange));
  }

  private static int connectTimeoutMillis(Outbox.Call call) {
    long callMillis = call.timeoutMicros() / MICROS_PER_MILLI;
    return (int) Math.max(1, Math.min(callMillis, MAX_CONNECT_TIMEOUT_MILLIS));
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static void onConnectComplete(ChannelFuture connectFuture, HttpExchange exchange) {
    if (!connectFuture.isSuccess()) {
      exchange.endWithoutReply();
    } else if (exchange.hasEnded()) {
      connectFuture.channel().close();
    } else {
      send(connectFuture.channel(), exchange);
    }
  }

  private static void send(Channel channel, HttpExchange exchange) {
    channel.pipeline().get(HttpCallHandler.class).send(channel, exchange);
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new HttpRequestEncoder())
          .addLast(new HttpResponseDecoder())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new HttpCallHandler(idleConnections));
    }
  }
}
