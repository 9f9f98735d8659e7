package gladeknot.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.outbox.Outbox;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Calls over loopback: each call is answered, and the number of idle connections is bounded. */
class HttpCallerTest {
  private static final int MACHINES = 200;

  @Test
  void idleConnectionsAreBoundedWhenManyMachinesAreCalled() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      HttpServer[] server = new HttpServer[1];
      server[0] =
          new HttpServer(
              (id, method, path, body) ->
                  server[0].answer(new Outbox.Answer(id, 200, new byte[] {'{', '}'}, 0)),
              10_000);
      List<String> addresses = new ArrayList<>();
      for (int i = 0; i < MACHINES; i++) {
        var address = (InetSocketAddress) server[0].listen(group, "127.0.0.1", 0).localAddress();
        addresses.add("127.0.0.1:" + address.getPort());
      }
      AtomicInteger answered = new AtomicInteger();
      CountDownLatch replies = new CountDownLatch(2 * MACHINES);
      HttpCaller caller =
          new HttpCaller(
              group,
              (id, reply) -> {
                answered.addAndGet(reply.status() == 200 ? 1 : 0);
                replies.countDown();
              });
      // Calls each machine twice in a row, so that the second call may reuse an idle connection.
      for (int i = 0; i < 2 * MACHINES; i++) {
        var call =
            new Outbox.Call(i, addresses.get(i / 2), "POST", "/orders", new byte[0], 10_000_000);
        group.next().submit(() -> caller.call(call)).sync();
      }
      assertTrue(replies.await(30, TimeUnit.SECONDS));
      assertEquals(2 * MACHINES, answered.get());
      int open = Integer.MAX_VALUE;
      for (int i = 0; i < 200 && open > HttpCaller.MAX_IDLE_CONNECTIONS; i++) {
        Thread.sleep(20);
        open = group.next().submit(() -> server[0].connectionCount()).get();
      }
      assertTrue(open <= HttpCaller.MAX_IDLE_CONNECTIONS, open + " connections are open");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
