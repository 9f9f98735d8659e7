package gladeknot.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Forwards TCP connections on loopback between real processes, and on command drops, delays or
 * refuses single directions of single links. A connection on which something was dropped is closed
 * when the direction is let through again, since its byte stream has a gap.
 */
public final class DirectionalProxy implements AutoCloseable {
  /** What happens to what is sent in one direction. */
  public enum Mode {
    PASS,
    DROP,
    DELAY,
    /** New connections are closed at once, and those that there are too; for requests only. */
    REFUSE
  }

  /** The direction from who opens connections, and the one back. */
  public enum Toward {
    REQUESTS,
    ANSWERS
  }

  private record Rule(Mode mode, long delayMillis) {}

  private record Key(String link, Toward toward) {}

  private static final Rule PASS = new Rule(Mode.PASS, 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<Key, Rule> rules = new ConcurrentHashMap<>();

  /** Opens an address on loopback for a link; what comes there is forwarded to the target. */
  public String open(String link, String target) {
    int colon = target.lastIndexOf(':');
    InetSocketAddress to =
        new InetSocketAddress(
            target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
    Channel server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    connect(ch, link, to);
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
    return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Sets what happens on a link in one direction from now on. */
  public void set(String link, Toward toward, Mode mode, long delayMillis) {
    rules.put(new Key(link, toward), new Rule(mode, delayMillis));
  }

  private Rule rule(String link, Toward toward) {
    return rules.getOrDefault(new Key(link, toward), PASS);
  }

  private void connect(SocketChannel front, String link, InetSocketAddress to) {
    if (rule(link, Toward.REQUESTS).mode() == Mode.REFUSE) {
      front.config().setSoLinger(0);
      front.close();
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(to);
    connecting.addListener(
        (ChannelFuture f) -> {
          if (!f.isSuccess()) {
            front.close();
            return;
          }
          Channel back = f.channel();
          front.pipeline().addLast(new Forwarder(back, link, Toward.REQUESTS));
          back.pipeline().addLast(new Forwarder(front, link, Toward.ANSWERS));
          front.config().setAutoRead(true);
          back.config().setAutoRead(true);
        });
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final String link;
    private final Toward toward;
    private boolean gap;

    private Forwarder(Channel other, String link, Toward toward) {
      this.other = other;
      this.link = link;
      this.toward = toward;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Rule rule = rule(link, toward);
      if (rule.mode() == Mode.DROP) {
        gap = true;
        ReferenceCountUtil.release(msg);
      } else if (gap || rule.mode() == Mode.REFUSE) {
        ReferenceCountUtil.release(msg);
        ctx.close();
      } else if (rule.mode() == Mode.DELAY) {
        ByteBuf held = (ByteBuf) msg;
        ctx.executor()
            .schedule(() -> other.writeAndFlush(held), rule.delayMillis(), TimeUnit.MILLISECONDS);
      } else {
        other.writeAndFlush(msg);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      // The end of a connection doesn't get through where nothing does.
      if (rule(link, toward).mode() != Mode.DROP) {
        other.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
