package gladeknot.http;

import gladeknot.errors.FatalErrors;
import gladeknot.outbox.Outbox;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Last handler in the pipeline of an outgoing connection: sends one request at a time and receives
 * its response.
 */
final class HttpCallHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final IdleConnections idleConnections;
  private HttpExchange exchange;

  HttpCallHandler(IdleConnections idleConnections) {
    this.idleConnections = idleConnections;
  }

  /** Sends the request of an exchange; the connection must be idle. */
  void send(Channel channel, HttpExchange newExchange) {
    exchange = newExchange;
    newExchange.setChannel(channel);
    channel.writeAndFlush(request(newExchange.call()));
  }

  private static DefaultFullHttpRequest request(Outbox.Call call) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            Unpooled.wrappedBuffer(call.body()));
    request.headers().set(HttpHeaderNames.HOST, call.address());
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    if (call.body().length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    return request;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    HttpExchange answered = takeExchange();
    if (answered == null) {
      ctx.close();
      return;
    }
    if (response.decoderResult().isFailure()) {
      ctx.close();
      answered.endWithoutReply();
      return;
    }
    if (HttpUtil.isKeepAlive(response)) {
      idleConnections.add(answered.call().address(), ctx.channel());
    } else {
      ctx.close();
    }
    answered.endWithReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    idleConnections.close(ctx.channel());
    HttpExchange unanswered = takeExchange();
    if (unanswered != null) {
      // The service may have carried out the request; only the reply is missing.
      unanswered.endWithoutReply();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    FatalErrors.exitIfError("reply", cause);
    ctx.close();
  }

  private HttpExchange takeExchange() {
    HttpExchange taken = exchange;
    exchange = null;
    return taken;
  }
}
