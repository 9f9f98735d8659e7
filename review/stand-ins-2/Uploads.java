package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Users' submissions of nearly 64 KiB whose packets a network interruption holds before the last one. */
final class Uploads {
  private static final int USERS_PER_NODE = 400;
  private static final int PACKET_BYTES = 1400;
  private static final int BODY_BYTES = 65_000;
  /** Packets that arrive together: a burst, then single ones, as after a loss. */
  private static final int[] PACKETS_AT_ONCE = {8, 1, 1, 1, 1, 1};

  private record Upload(int node, Socket socket, byte[] request) {}

  public static void main(String[] args) throws Exception {
    Site site = new Site(args[0]);
    site.start();
    site.awaitHealthy();
    Map<String, Object> before = Site.spec("req-000001", "regels", "fiscaal", "array", "normal", 4, 2.0, 7.2);
    site.describe(before, 3_000);
    site.submitUntilAccepted(0, before);

    List<Upload> uploads = new ArrayList<>();
    for (int user = 0; user < USERS_PER_NODE; user++) {
      for (int node = 0; node < 3; node++) {
        Socket socket = new Socket();
        try {
          socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), site.ports[node]), 5000);
        } catch (IOException e) {
          site.finish(2, "no connection: " + e);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        uploads.add(new Upload(node, socket, request(user * 3 + node)));
      }
    }
    site.note(uploads.size() + " users are connected, " + USERS_PER_NODE + " to each node, each with a submission of "
        + BODY_BYTES + " bytes");
    int all = uploads.get(0).request().length;
    int held = site.trouble ? all - PACKET_BYTES : 0;
    int sent = 0;
    for (int round = 0; sent < held; round++) {
      int to = Math.min(held, sent + PACKETS_AT_ONCE[round % PACKETS_AT_ONCE.length] * PACKET_BYTES);
      for (Upload u : uploads) {
        write(u, sent, to);
      }
      sent = to;
      Site.sleep(100);
    }
    if (site.trouble) {
      site.note("the interruption holds the last packet of each submission for 3 s");
      Site.sleep(3_000);
    }
    int answered = 0;
    int[] statuses = new int[600];
    for (Upload u : uploads) {
      write(u, held, all);
    }
    for (Upload u : uploads) {
      int status = status(u.socket());
      statuses[status]++;
      answered += status > 0 ? 1 : 0;
      u.socket().close();
    }
    for (int s = 0; s < statuses.length; s++) {
      if (statuses[s] > 0) {
        site.note("answers with status " + s + ": " + statuses[s]);
      }
    }
    Site.sleep(2_000);
    for (int k = 0; k < 3; k++) {
      site.log(k).lines().filter(l -> l.contains("process ends")).forEach(l -> site.note("log: " + l));
    }
    site.finish(site.ends.isEmpty() ? 0 : 1, "controllers that ended by themselves: " + site.ends + ", answers " + answered);
  }

  private static byte[] request(int user) {
    Map<String, Object> job =
        Site.spec(String.format("req-%06d", 1000 + user), "regels", "gasten", "array", "normal", 4, 2.0, 7.2);
    job.put("remarks", "");
    int fill = BODY_BYTES - Json.write(job).length();
    job.put("remarks", "x".repeat(fill));
    String body = Json.write(job);
    return ("POST /work HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  private static void write(Upload u, int from, int to) {
    try {
      u.socket().getOutputStream().write(Arrays.copyOfRange(u.request(), from, to));
    } catch (IOException e) {
      // The controller has closed the connection or has ended.
    }
  }

  /** Returns the status of the answer; 0 if there is none. */
  private static int status(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      byte[] line = in.readNBytes(12);
      return line.length < 12 ? 0 : Integer.parseInt(new String(line, 9, 3, StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return 0;
    }
  }
}
