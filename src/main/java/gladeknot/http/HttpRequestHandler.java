package gladeknot.http;

import gladeknot.errors.FatalErrors;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Last handler in the pipeline of an incoming connection: passes requests to the server's handler,
 * and closes the connection if no request comes on it.
 */
final class HttpRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpRequestHandler.class);
  private static final int BAD_REQUEST = 400;

  /** Time after which a connection without any request is closed. */
  private static final long FIRST_REQUEST_TIMEOUT_SECONDS = 10;

  /** Value of {@link #newestRequest} before the first request. */
  private static final long NO_REQUEST = 0;

  private final HttpServer server;
  private final HttpServer.Handler handler;
  private final ServerConnections connections;

  /** Id of the newest request; kept after the request is answered. */
  private long newestRequest = NO_REQUEST;

  HttpRequestHandler(HttpServer server, HttpServer.Handler handler, ServerConnections connections) {
    this.server = server;
    this.handler = handler;
    this.connections = connections;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    connections.add(ctx.channel());
    ctx.executor()
        .schedule(() -> closeIfUnused(ctx), FIRST_REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Closes the connection if no request has come on it. A connection that has had a request is left
   * to its client to close, or is closed when there are too many connections.
   */
  private void closeIfUnused(ChannelHandlerContext ctx) {
    if (newestRequest == NO_REQUEST) {
      ctx.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    connections.touch(ctx.channel());
    long id = server.open(ctx.channel(), HttpUtil.isKeepAlive(request));
    newestRequest = id;
    if (request.decoderResult().isFailure()) {
      byte[] error = Json.bytes(Json.of("error", "not HTTP"));
      server.answer(new Outbox.Answer(id, BAD_REQUEST, error, 0));
      return;
    }
    byte[] body = ByteBufUtil.getBytes(request.content());
    handler.onRequest(id, request.method().name(), request.uri(), body);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.remove(ctx.channel());
    server.abandon(newestRequest);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    FatalErrors.exitIfError("request", cause);
    LOG.debug(
        "connection closed remote={} cause={}", ctx.channel().remoteAddress(), cause.toString());
    ctx.close();
  }
}
