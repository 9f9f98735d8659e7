package gladeknot.peer;

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
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections between controllers: one outgoing to each, on which hints are sent. */
public final class PeerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);
  private static final int MAX_RECORD = 64 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_MS = 1000;

  private final Settings settings;
  private final EventLoopGroup group;
  private final Consumer<PeerMessage> handler;
  private final Map<String, Channel> channels = new HashMap<>();
  private final Map<String, ChannelFuture> connecting = new HashMap<>();

  /** Links to all other controllers; what they send goes to the handler. */
  public PeerLinks(Settings settings, EventLoopGroup group, Consumer<PeerMessage> handler) {
    this.settings = settings;
    this.group = group;
    this.handler = handler;
  }

  /** Listens for the other controllers. */
  public void listen() {
    InetSocketAddress at = address(settings.peerListen());
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                ch.pipeline()
                    .addLast(
                        new LengthFieldBasedFrameDecoder(
                            MAX_RECORD, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                    .addLast(new Receiver());
              }
            })
        .bind(at)
        .syncUninterruptibly();
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Sends a record to all others; one that is not connected gets a later one. */
  public void send(PeerMessage message) {
    byte[] record = message.encode();
    for (Settings.Member member : settings.members()) {
      Channel channel = channels.get(member.node());
      if (channel != null && channel.isActive()) {
        if (channel.bytesBeforeUnwritable() > 0) {
          channel.writeAndFlush(Unpooled.wrappedBuffer(record));
        }
      } else {
        connect(member);
      }
    }
  }

  private void connect(Settings.Member member) {
    ChannelFuture before = connecting.get(member.node());
    if (before != null && !before.isDone()) {
      return;
    }
    ChannelFuture future =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Quiet());
                  }
                })
            .connect(address(member.address()));
    connecting.put(member.node(), future);
    future.addListener(
        (ChannelFuture f) -> {
          if (f.isSuccess()) {
            channels.put(member.node(), f.channel());
          }
        });
  }

  private static final class Quiet extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private final class Receiver extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ByteBuf buf = (ByteBuf) msg;
      try {
        handler.accept(PeerMessage.decode(ByteBufUtil.getBytes(buf)));
      } catch (IOException e) {
        LOG.error("garbled record from {}: {}", ctx.channel().remoteAddress(), e.toString());
        ctx.close();
      } finally {
        buf.release();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("peer {} closed: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
