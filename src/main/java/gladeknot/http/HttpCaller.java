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

/** Calls other services over kept connections, one request at a time on each. */
public final class HttpCaller {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final long MAX_CONNECT_MILLIS = 2000;
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * Idle connections kept in all. Commands go to every machine some time: kept for each of them,
   * they would use up the sockets that workers and users need.
   */
  static final int MAX_IDLE = 64;

  /** Takes a reply in. */
  public interface Handler {
    /** The reply to a call, on a thread of the event loop; status 0 says that none came. */
    void reply(long id, Outbox.Reply reply);
  }

  private final EventLoopGroup group;
  private final Handler handler;
  private final IdleConnections idleConnections = new IdleConnections(MAX_IDLE);

  /** A caller whose replies go to the handler, on a thread of the group. */
  public HttpCaller(EventLoopGroup group, Handler handler) {
    this.group = group;
    this.handler = handler;
  }

  /** Sends a call; a reply or its absence always comes, within the call's time. */
  public void call(Outbox.Call call) {
    Channel idle = idleConnections.take(call.address());
    HttpExchange exchange = new HttpExchange(call, handler);
    exchange.endAfter(
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
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis(call))
        .handler(new ConnectionInitializer())
        .connect(parseAddress(call.address()))
        .addListener((ChannelFuture connected) -> onConnectDone(connected, exchange));
  }

  private static int connectMillis(Outbox.Call call) {
    long callMillis = call.timeoutMicros() / MICROS_PER_MILLI;
    return (int) Math.max(1, Math.min(callMillis, MAX_CONNECT_MILLIS));
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static void onConnectDone(ChannelFuture connected, HttpExchange exchange) {
    if (!connected.isSuccess()) {
      exchange.endWithoutReply();
    } else if (exchange.hasEnded()) {
      connected.channel().close();
    } else {
      send(connected.channel(), exchange);
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
