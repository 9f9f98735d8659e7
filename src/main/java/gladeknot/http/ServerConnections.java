package gladeknot.http;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;

/** The server's open connections, limited in number. */
final class ServerConnections {
  private final int maxConnections;

  /**
   * Open connections in access order, the least recently used first; the values have no meaning.
   */
  private final LinkedHashMap<Channel, Boolean> byLastUse = new LinkedHashMap<>(64, 0.75f, true);

  ServerConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  int count() {
    return byLastUse.size();
  }

  /** Adds a new connection; if there are then too many, closes the least recently used one. */
  void add(Channel channel) {
    byLastUse.put(channel, true);
    if (byLastUse.size() > maxConnections) {
      byLastUse.keySet().iterator().next().close();
    }
  }

  /** Marks a connection as the most recently used. */
  void touch(Channel channel) {
    // In an access-ordered map, a lookup moves the entry to the end.
    byLastUse.get(channel);
  }

  void remove(Channel channel) {
    byLastUse.remove(channel);
  }
}
