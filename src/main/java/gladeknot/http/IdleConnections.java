package gladeknot.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Idle connections that are kept for later calls, a few for each address and so many in all. */
final class IdleConnections {
  private static final int MAX_PER_ADDRESS = 4;

  private final int maxConnections;
  private final Map<String, ArrayDeque<Channel>> byAddress = new HashMap<>();

  /** All idle connections with their addresses, the one idle for longest first. */
  private final LinkedHashMap<Channel, String> addresses = new LinkedHashMap<>();

  IdleConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Takes the open connection to an address that was used last; null if there is none. */
  Channel take(String address) {
    ArrayDeque<Channel> idle = byAddress.get(address);
    if (idle == null) {
      return null;
    }
    Channel channel = null;
    while (channel == null && !idle.isEmpty()) {
      Channel latest = idle.pollLast();
      addresses.remove(latest);
      channel = latest.isActive() ? latest : null;
    }
    if (idle.isEmpty()) {
      byAddress.remove(address);
    }
    return channel;
  }

  /** Keeps a connection; if there are too many, the one idle for longest is closed. */
  void add(String address, Channel channel) {
    ArrayDeque<Channel> idle = byAddress.computeIfAbsent(address, absent -> new ArrayDeque<>());
    idle.addLast(channel);
    addresses.put(channel, address);
    if (idle.size() > MAX_PER_ADDRESS) {
      close(idle.peekFirst());
    } else if (addresses.size() > maxConnections) {
      close(addresses.keySet().iterator().next());
    }
  }

  /** Closes a connection, if it is still open, and no longer keeps it. */
  void close(Channel channel) {
    String address = addresses.remove(channel);
    if (address != null) {
      ArrayDeque<Channel> idle = byAddress.get(address);
      idle.remove(channel);
      if (idle.isEmpty()) {
        byAddress.remove(address);
      }
    }
    channel.close();
  }
}
