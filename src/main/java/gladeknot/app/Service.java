package gladeknot.app;

import gladeknot.http.HttpCaller;
import gladeknot.http.HttpServer;
import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.settings.Settings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

public final class Service {
  private final Settings settings;

  public Service(Settings settings) {
    this.settings = settings;
  }

  public void start() {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpServer[] server = new HttpServer[1];
    server[0] =
        new HttpServer(
            (id, method, path, body) ->
                server[0].answer(new Outbox.Answer(id, 200, Json.bytes(Json.of("ok", true)), 0)),
            100);
    String[] a = settings.clientListen().split(":");
    server[0].listen(group, a[0], Integer.parseInt(a[1]));
    System.err.println("started");
    HttpCaller caller =
        new HttpCaller(group, (id, reply) -> System.err.println("state " + reply.status()));
    caller.call(new Outbox.Call(1, settings.state(), "GET", "/kv/g/x", new byte[0], 1_000_000));
  }
}
