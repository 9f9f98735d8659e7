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
 * A TCP proxy on loopback between real processes that injects faults: it drops, delays or refuses
 * traffic in one direction of one link. A connection that lost data is closed once its direction
 * passes traffic again, since its byte stream has a gap.
 */
public final class DirectionalProxy implements AutoCloseable {
  /** Treatment of traffic in one direction of a link. */
  public enum Mode {
    PASS,
    DROP,
    DELAY,
    /** Resets new connections and closes established ones; only for {@link Direction#REQUESTS}. */
    REFUSE
  }

  /**
   * Direction of traffic: {@code REQUESTS} from the client that opens a connection to the target,
   * {@code ANSWERS} the reverse.
   */
  public enum Direction {
    REQUESTS,
    ANSWERS
  }

  private record Rule(Mode mode, long delayMillis) {}

  private record Key(String link, Direction direction) {}

  private static final Rule PASS = new Rule(Mode.PASS, 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<Key, Rule> rules = new ConcurrentHashMap<>();

  /**
   * Listens on loopback for a link and forwards its connections to the target; returns the address.
   */
  public String open(String link, String target) {
    int colon = target.lastIndexOf(':');
    InetSocketAddress targetAddress =
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
                  protected void initChannel(SocketChannel channel) {
                    connect(channel, link, targetAddress);
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
    return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Sets the treatment of one direction of a link from now on. */
  public void setMode(String link, Direction direction, Mode mode, long delayMillis) {
    rules.put(new Key(link, direction), new Rule(mode, delayMillis));
  }

  private Rule rule(String link, Direction direction) {
    return rules.getOrDefault(new Key(link, direction), PASS);
  }

  private void connect(SocketChannel clientChannel, String link, InetSocketAddress targetAddress) {
    if (rule(link, Direction.REQUESTS).mode() == Mode.REFUSE) {
      clientChannel.config().setSoLinger(0);
      clientChannel.close();
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(targetAddress);
    connecting.addListener(
        (ChannelFuture connected) -> {
          if (!connected.isSuccess()) {
            clientChannel.close();
            return;
          }
          Channel targetChannel = connected.channel();
          clientChannel.pipeline().addLast(new Forwarder(targetChannel, link, Direction.REQUESTS));
          targetChannel.pipeline().addLast(new Forwarder(clientChannel, link, Direction.ANSWERS));
          clientChannel.config().setAutoRead(true);
          targetChannel.config().setAutoRead(true);
        });
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel peer;
    private final String link;
    private final Direction direction;
    private boolean streamBroken;

    private Forwarder(Channel peer, String link, Direction direction) {
      this.peer = peer;
      this.link = link;
      this.direction = direction;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      Rule rule = rule(link, direction);
      if (rule.mode() == Mode.DROP) {
        streamBroken = true;
        ReferenceCountUtil.release(message);
      } else if (streamBroken || rule.mode() == Mode.REFUSE) {
        ReferenceCountUtil.release(message);
        context.close();
      } else if (rule.mode() == Mode.DELAY) {
        ByteBuf held = (ByteBuf) message;
        context
            .executor()
            .schedule(() -> peer.writeAndFlush(held), rule.delayMillis(), TimeUnit.MILLISECONDS);
      } else {
        peer.writeAndFlush(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      // A direction that drops traffic must not pass on the close of the connection either.
      if (rule(link, direction).mode() != Mode.DROP) {
        peer.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
