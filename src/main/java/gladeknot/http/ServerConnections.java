package gladeknot.http;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;

/** The server's open connections; their number stays bounded. */
final class ServerConnections {
  private final int maxConnections;

  /** In the order of their last use, the one unused for longest first. */
  private final LinkedHashMap<Channel, Boolean> byLastUse = new LinkedHashMap<>(64, 0.75f, true);

  ServerConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  int count() {
    return byLastUse.size();
  }

  /** Adds a new connection; if there are too many, the one unused for longest is closed. */
  void add(Channel channel) {
    byLastUse.put(channel, true);
    if (byLastUse.size() > maxConnections) {
      byLastUse.keySet().iterator().next().close();
    }
  }

  /** Notes that a connection is used now. */
  void touch(Channel channel) {
    // In access order, a look-up makes it the last one.
    byLastUse.get(channel);
  }

  void remove(Channel channel) {
    byLastUse.remove(channel);
  }
}
