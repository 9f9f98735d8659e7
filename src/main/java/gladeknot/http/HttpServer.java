package gladeknot.http;

import gladeknot.outbox.Outbox;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.Map;

/** Serves HTTP/1.1 on one event loop; each request gets an id by which it is answered. */
public final class HttpServer {
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Maximum number of connections waiting to be accepted. When other controllers fail, all their
   * workers and users connect at once, from more than 4,000 machines. The operating system may
   * impose a lower limit; refused clients retry.
   */
  private static final int BACKLOG = 8192;

  /** Receives requests. */
  public interface Handler {
    /** Handles a request, on the event loop's thread; it is to be answered by its id. */
    void onRequest(long id, String method, String path, byte[] body);
  }

  private record OpenRequest(Channel channel, boolean keepAlive) {}

  private final Handler handler;
  private final ServerConnections connections;
  private final Map<Long, OpenRequest> openRequests = new HashMap<>();
  private long nextId = 1;

  /** Creates a server that passes requests to the handler and limits its open connections. */
  public HttpServer(Handler handler, int maxConnections) {
    this.handler = handler;
    this.connections = new ServerConnections(maxConnections);
  }

  /** Listens on host:port; returns the bound channel. */
  public Channel listen(EventLoopGroup group, String host, int port) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ConnectionInitializer())
        .bind(host, port)
        .syncUninterruptibly()
        .channel();
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new HttpRequestDecoder())
          .addLast(new HttpResponseEncoder())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new HttpRequestHandler(HttpServer.this, handler, connections));
    }
  }

  /** Returns the number of open connections. */
  int connectionCount() {
    return connections.count();
  }

  /** Registers a request on a connection; returns the id by which it is answered. */
  long open(Channel channel, boolean keepAlive) {
    long id = nextId++;
    openRequests.put(id, new OpenRequest(channel, keepAlive));
    return id;
  }

  /** Discards a request whose client has disconnected. */
  void abandon(long id) {
    openRequests.remove(id);
  }

  /** Sends an answer; drops it if the client has disconnected. */
  public void answer(Outbox.Answer answer) {
    OpenRequest request = openRequests.remove(answer.request());
    if (request == null || !request.channel().isActive()) {
      return;
    }
    DefaultFullHttpResponse response = response(answer);
    if (!request.keepAlive()) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = request.channel().writeAndFlush(response);
    if (!request.keepAlive()) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static DefaultFullHttpResponse response(Outbox.Answer answer) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    if (answer.retryAfterSeconds() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterSeconds());
    }
    return response;
  }
}
