package gladeknot.app;

import gladeknot.http.HttpServer;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the status for operators as JSON, on its own address. */
final class StatusListener {
  private static final Logger LOG = LoggerFactory.getLogger(StatusListener.class);

  /** The only path served. */
  static final String PATH = "/status";

  private static final int MAX_CONNECTIONS = 20;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  private final Supplier<Map<String, Object>> status;
  private final HttpServer server;

  StatusListener(Supplier<Map<String, Object>> status) {
    this.status = status;
    this.server = new HttpServer(this::onRequest, MAX_CONNECTIONS);
  }

  /** Listens on host:port, on the controller's event loop. */
  void listen(EventLoopGroup group, String address) {
    ListenAddress parsed = ListenAddress.parse(address);
    server.listen(group, parsed.host(), parsed.port());
    LOG.info("status listening address={}", address);
  }

  private void onRequest(long request, String method, String path, byte[] body) {
    if (!path.equals(PATH)) {
      answer(request, NOT_FOUND, Json.of("error", "no such path"));
    } else if (!method.equals("GET")) {
      answer(request, METHOD_NOT_ALLOWED, Json.of("error", "use GET"));
    } else {
      answer(request, OK, status.get());
    }
  }

  private void answer(long request, int code, Map<String, Object> body) {
    server.answer(new Outbox.Answer(request, code, Json.bytes(body), 0));
  }
}
