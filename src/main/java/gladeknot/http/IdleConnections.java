package gladeknot.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Idle connections kept for later calls, limited in number per address and in total. */
final class IdleConnections {
  private static final int MAX_PER_ADDRESS = 4;

  private final int maxConnections;
  private final Map<String, ArrayDeque<Channel>> byAddress = new HashMap<>();

  /** Address of each idle connection, in the order of idle time, the longest idle first. */
  private final LinkedHashMap<Channel, String> addressByChannel = new LinkedHashMap<>();

  IdleConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /**
   * Removes and returns the most recently used open connection to an address; null if there is
   * none.
   */
  Channel take(String address) {
    ArrayDeque<Channel> idle = byAddress.get(address);
    if (idle == null) {
      return null;
    }
    Channel channel = null;
    while (channel == null && !idle.isEmpty()) {
      Channel latest = idle.pollLast();
      addressByChannel.remove(latest);
      channel = latest.isActive() ? latest : null;
    }
    if (idle.isEmpty()) {
      byAddress.remove(address);
    }
    return channel;
  }

  /**
   * Adds a connection; if there are then too many, closes the connection that has been idle for
   * longest.
   */
  void add(String address, Channel channel) {
    ArrayDeque<Channel> idle = byAddress.computeIfAbsent(address, absent -> new ArrayDeque<>());
    idle.addLast(channel);
    addressByChannel.put(channel, address);
    if (idle.size() > MAX_PER_ADDRESS) {
      close(idle.peekFirst());
    } else if (addressByChannel.size() > maxConnections) {
      close(addressByChannel.keySet().iterator().next());
    }
  }

  /** Removes a connection and closes it if it is still open. */
  void close(Channel channel) {
    String address = addressByChannel.remove(channel);
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
