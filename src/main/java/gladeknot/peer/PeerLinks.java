package gladeknot.peer;

import gladeknot.errors.FatalErrors;
import gladeknot.settings.Settings;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections between controllers. Each controller opens a connection to every other controller for
 * the messages that it sends, and receives on the connections that the other controllers open. Runs
 * on the event loop's thread.
 */
public final class PeerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);
  private static final int MAX_MESSAGE_BYTES = 64 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /** Handles received messages. */
  public interface MessageHandler {
    /** Handles a message of another controller, on the event loop's thread. */
    void onMessage(PeerMessage message);
  }

  private final Settings settings;
  private final EventLoopGroup group;
  private final MessageHandler handler;
  private final Map<String, Channel> channels = new HashMap<>();
  private final Map<String, ChannelFuture> connecting = new HashMap<>();

  /** Creates links to all other controllers; the handler gets the messages that they send. */
  public PeerLinks(Settings settings, EventLoopGroup group, MessageHandler handler) {
    this.settings = settings;
    this.group = group;
    this.handler = handler;
  }

  /** Listens for connections of the other controllers. */
  public void listen() {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(new IncomingInitializer())
        .bind(parseAddress(settings.peerListen()))
        .syncUninterruptibly();
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sends a message to all other controllers; those not connected receive only later messages. */
  public void send(PeerMessage message) {
    byte[] encoded = message.encode();
    for (Settings.Member member : settings.members()) {
      Channel channel = channels.get(member.node());
      if (channel == null || !channel.isActive()) {
        connect(member);
      } else if (channel.bytesBeforeUnwritable() > 0) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoded));
      }
    }
  }

  private void connect(Settings.Member member) {
    ChannelFuture pending = connecting.get(member.node());
    if (pending != null && !pending.isDone()) {
      return;
    }
    ChannelFuture future =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new OutgoingInitializer())
            .connect(parseAddress(member.address()));
    connecting.put(member.node(), future);
    future.addListener((ChannelFuture connected) -> onConnectDone(member, connected));
  }

  private void onConnectDone(Settings.Member member, ChannelFuture connected) {
    if (connected.isSuccess()) {
      channels.put(member.node(), connected.channel());
    }
  }

  private static final class OutgoingInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new LengthFieldPrepender(LENGTH_BYTES))
          .addLast(new CloseOnErrorHandler());
    }
  }

  private final class IncomingInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
          .addLast(new MessageReceiver());
    }
  }

  /** Closes a failed connection; the next message opens a new connection. */
  private static final class CloseOnErrorHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      FatalErrors.exitIfError("peer-message", cause);
      ctx.close();
    }
  }

  /** Decodes received messages; a malformed one closes its connection. */
  private final class MessageReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      try {
        handler.onMessage(PeerMessage.decode(ByteBufUtil.getBytes(frame)));
      } catch (IOException e) {
        LOG.error(
            "peer message malformed remote={} cause={}",
            ctx.channel().remoteAddress(),
            e.toString());
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      FatalErrors.exitIfError("peer-message", cause);
      LOG.debug(
          "peer connection closed remote={} cause={}",
          ctx.channel().remoteAddress(),
          cause.toString());
      ctx.close();
    }
  }
}
