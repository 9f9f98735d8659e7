package gladeknot.app;

import gladeknot.http.HttpServer;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves what operators are shown, as JSON on an address of its own. */
final class StatusListener {
  private static final Logger LOG = LoggerFactory.getLogger(StatusListener.class);

  /** The one path that is served. */
  static final String PATH = "/status";

  private static final int MAX_CONNECTIONS = 20;

  private final Supplier<Map<String, Object>> status;
  private final HttpServer server;

  StatusListener(Supplier<Map<String, Object>> status) {
    this.status = status;
    this.server = new HttpServer(this::request, MAX_CONNECTIONS);
  }

  /** Listens on host:port, on the same event loop as everything else. */
  void listen(EventLoopGroup group, String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    server.listen(group, address.substring(0, colon), port);
    LOG.info("status for operators on {}", address);
  }

  private void request(long id, String method, String path, byte[] body) {
    int code = 200;
    Map<String, Object> answer;
    if (!path.equals(PATH)) {
      code = 404;
      answer = Json.of("error", "no such path");
    } else if (!method.equals("GET")) {
      code = 405;
      answer = Json.of("error", "use GET");
    } else {
      answer = status.get();
    }
    server.answer(new Outbox.Answer(id, code, Json.bytes(answer), 0));
  }
}
