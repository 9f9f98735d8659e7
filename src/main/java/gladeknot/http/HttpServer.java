package gladeknot.http;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP/1.1 on one event loop; every request is handed on with a number for its answer. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY = 64 * 1024;
  private static final long IDLE_SECONDS = 75;
  private static final long HALF_OPEN_SECONDS = 10;

  /**
   * When other controllers end, all their workers and users come at once: above 4,000 machines. The
   * system may allow less; who is refused comes again.
   */
  private static final int BACKLOG = 8192;

  /** Takes a request in. */
  public interface Handler {
    void request(long id, String method, String path, byte[] body);
  }

  private record Open(Channel channel, boolean keepAlive) {}

  private final Handler handler;
  private final int maxConnections;
  private final Map<Long, Open> open = new HashMap<>();
  private final LinkedHashMap<Channel, Boolean> channels = new LinkedHashMap<>(64, 0.75f, true);
  private long nextId = 1;

  /** A server for at most so many connections; requests go to the handler. */
  public HttpServer(Handler handler, int maxConnections) {
    this.handler = handler;
    this.maxConnections = maxConnections;
  }

  /** Listens on host:port; returns the bound channel. */
  public Channel listen(EventLoopGroup group, String host, int port) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                ch.pipeline()
                    .addLast(new HttpRequestDecoder())
                    .addLast(new HttpResponseEncoder())
                    .addLast(new HttpObjectAggregator(MAX_BODY))
                    .addLast(new Connection());
              }
            })
        .bind(host, port)
        .syncUninterruptibly()
        .channel();
  }

  /** How many connections are open. */
  int connections() {
    return channels.size();
  }

  /** Sends an answer; one whose client has gone is dropped. */
  public void answer(Outbox.Answer answer) {
    Open o = open.remove(answer.request());
    if (o == null || !o.channel.isActive()) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    if (answer.retryAfterS() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterS());
    }
    if (!o.keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var future = o.channel.writeAndFlush(response);
    if (!o.keepAlive) {
      future.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private boolean used;
    private long current;
    private long lastNanos;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channels.put(ctx.channel(), true);
      if (channels.size() > maxConnections) {
        // Sockets stay bounded: the connection idle for longest makes room.
        Channel oldest = channels.keySet().iterator().next();
        oldest.close();
      }
      lastNanos = System.nanoTime();
      ctx.executor().schedule(() -> check(ctx), HALF_OPEN_SECONDS, TimeUnit.SECONDS);
    }

    private void check(ChannelHandlerContext ctx) {
      if (!ctx.channel().isActive()) {
        return;
      }
      long idle = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - lastNanos);
      if (!used || (current == 0 && idle >= IDLE_SECONDS)) {
        ctx.close();
        return;
      }
      ctx.executor().schedule(() -> check(ctx), IDLE_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      channels.remove(ctx.channel());
      open.remove(current);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      FullHttpRequest request = (FullHttpRequest) msg;
      try {
        used = true;
        lastNanos = System.nanoTime();
        channels.get(ctx.channel());
        long id = nextId++;
        current = id;
        open.put(id, new Open(ctx.channel(), HttpUtil.isKeepAlive(request)));
        if (request.decoderResult().isFailure()) {
          answer(new Outbox.Answer(id, 400, Json.bytes(Json.of("error", "not HTTP")), 0));
          return;
        }
        byte[] body = ByteBufUtil.getBytes(request.content());
        handler.request(id, request.method().name(), request.uri(), body);
      } finally {
        request.release();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection {} closed: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
