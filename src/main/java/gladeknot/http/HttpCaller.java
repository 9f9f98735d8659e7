package gladeknot.http;

import gladeknot.outbox.Outbox;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Calls other services over kept connections, one request at a time on each. */
public final class HttpCaller {
  private static final int MAX_BODY = 16 * 1024 * 1024;
  private static final int KEPT = 4;

  /**
   * Idle connections kept in all. Commands go to every machine some time: kept for each of them,
   * they would use up the sockets that workers and users need.
   */
  static final int MAX_IDLE = 64;

  /** Takes a reply in. */
  public interface Handler {
    void reply(long id, Outbox.Reply reply);
  }

  private static final byte[] NOTHING = new byte[0];

  private final EventLoopGroup group;
  private final Handler handler;
  private final Map<String, ArrayDeque<Channel>> kept = new HashMap<>();

  /** All idle connections with their addresses, the one idle for longest first. */
  private final LinkedHashMap<Channel, String> idleSince = new LinkedHashMap<>();

  /** A caller whose answers go to the handler, on a thread of the group. */
  public HttpCaller(EventLoopGroup group, Handler handler) {
    this.group = group;
    this.handler = handler;
  }

  /** Sends a call; a reply or its absence always comes, within the call's time. */
  public void call(Outbox.Call call) {
    Channel channel = takeIdle(call.address());
    Exchange exchange = new Exchange(call);
    exchange.timer =
        group
            .next()
            .schedule(() -> exchange.end(0, NOTHING), call.timeoutMicros(), TimeUnit.MICROSECONDS);
    if (channel != null) {
      channel.pipeline().get(Connection.class).send(channel, exchange);
      return;
    }
    int colon = call.address().lastIndexOf(':');
    InetSocketAddress to =
        new InetSocketAddress(
            call.address().substring(0, colon),
            Integer.parseInt(call.address().substring(colon + 1)));
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.max(1, Math.min(call.timeoutMicros() / 1000, 2000)))
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                ch.pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(new HttpResponseDecoder())
                    .addLast(new HttpObjectAggregator(MAX_BODY))
                    .addLast(new Connection());
              }
            })
        .connect(to)
        .addListener(
            (io.netty.channel.ChannelFuture f) -> {
              if (!f.isSuccess()) {
                exchange.end(0, NOTHING);
              } else if (exchange.over) {
                f.channel().close();
              } else {
                f.channel().pipeline().get(Connection.class).send(f.channel(), exchange);
              }
            });
  }

  private Channel takeIdle(String address) {
    ArrayDeque<Channel> idle = kept.get(address);
    Channel channel = null;
    while (idle != null && (channel == null || !channel.isActive()) && !idle.isEmpty()) {
      channel = idle.pollLast();
      idleSince.remove(channel);
    }
    if (idle != null && idle.isEmpty()) {
      kept.remove(address);
    }
    return channel != null && channel.isActive() ? channel : null;
  }

  private void keep(String address, Channel channel) {
    ArrayDeque<Channel> idle = kept.computeIfAbsent(address, a -> new ArrayDeque<>());
    idle.addLast(channel);
    idleSince.put(channel, address);
    if (idle.size() > KEPT) {
      close(idle.peekFirst());
    } else if (idleSince.size() > MAX_IDLE) {
      close(idleSince.keySet().iterator().next());
    }
  }

  /** Closes an idle connection, or notes that it was closed. */
  private void close(Channel channel) {
    String address = idleSince.remove(channel);
    if (address != null) {
      ArrayDeque<Channel> idle = kept.get(address);
      idle.remove(channel);
      if (idle.isEmpty()) {
        kept.remove(address);
      }
    }
    channel.close();
  }

  private final class Exchange {
    private final Outbox.Call call;
    private java.util.concurrent.Future<?> timer;
    private Channel channel;
    private boolean over;

    private Exchange(Outbox.Call call) {
      this.call = call;
    }

    private void end(int status, byte[] body) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel(false);
      if (status == 0 && channel != null) {
        channel.close();
      }
      handler.reply(call.id(), new Outbox.Reply(status, body));
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private Exchange exchange;

    private void send(Channel ch, Exchange e) {
      exchange = e;
      e.channel = ch;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(e.call.method()),
              e.call.path(),
              Unpooled.wrappedBuffer(e.call.body()));
      request.headers().set(HttpHeaderNames.HOST, e.call.address());
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, e.call.body().length);
      if (e.call.body().length > 0) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      ch.writeAndFlush(request);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      FullHttpResponse response = (FullHttpResponse) msg;
      try {
        Exchange e = exchange;
        exchange = null;
        if (e == null || response.decoderResult().isFailure()) {
          ctx.close();
          if (e != null) {
            e.end(0, NOTHING);
          }
          return;
        }
        if (HttpUtil.isKeepAlive(response)) {
          keep(e.call.address(), ctx.channel());
        } else {
          ctx.close();
        }
        e.end(response.status().code(), ByteBufUtil.getBytes(response.content()));
      } finally {
        response.release();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      HttpCaller.this.close(ctx.channel());
      if (exchange != null) {
        Exchange e = exchange;
        exchange = null;
        // A closed connection says nothing about the request on it: no answer came.
        e.end(0, NOTHING);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
