package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 over plain sockets: a server with one thread a connection, and a client. */
final class Http {
  record Reply(int status, String body) {}

  /** Answers a request; null: no answer, the connection is closed. */
  interface Service {
    Reply serve(String method, String uri, String body);
  }

  private Http() {}

  static int listen(Service service) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            daemon(() -> serve(socket, service));
          }
        });
    return server.getLocalPort();
  }

  interface Task {
    void run() throws Exception;
  }

  static void daemon(Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection has ended.
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            },
            "stand-in",
            1 << 18);
    thread.setDaemon(true);
    thread.start();
  }

  private static void serve(Socket socket, Service service) throws IOException {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
      while (true) {
        String[] head = readHead(in);
        if (head == null) {
          return;
        }
        String body = new String(in.readNBytes(length(head)), StandardCharsets.UTF_8);
        String[] line = head[0].split(" ");
        Reply reply;
        try {
          reply = service.serve(line[0], line[1], body);
        } catch (RuntimeException e) {
          e.printStackTrace();
          reply = new Reply(400, Json.write(Json.of("error", String.valueOf(e.getMessage()))));
        }
        if (reply == null) {
          return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length + 128);
        out.write(
            ("HTTP/1.1 " + reply.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        socket.getOutputStream().write(out.toByteArray());
      }
    }
  }

  private static String[] readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int last4 = 0;
    while (last4 != 0x0d0a0d0a) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.write(b);
      last4 = last4 << 8 | b;
    }
    return head.toString(StandardCharsets.US_ASCII).split("\r\n");
  }

  private static int length(String[] head) {
    for (String line : head) {
      if (line.toLowerCase().startsWith("content-length:")) {
        return Integer.parseInt(line.substring(15).trim());
      }
    }
    return 0;
  }

  /** Sends a request on a connection of its own; status 0 if no answer comes in time. */
  static Reply call(int port, String method, String path, String body, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(
          (method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                  + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      socket.getOutputStream().write(out.toByteArray());
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String[] head = readHead(in);
      if (head == null) {
        return new Reply(0, "");
      }
      String text = new String(in.readNBytes(length(head)), StandardCharsets.UTF_8);
      return new Reply(Integer.parseInt(head[0].split(" ")[1]), text);
    } catch (IOException e) {
      return new Reply(0, "");
    }
  }
}
