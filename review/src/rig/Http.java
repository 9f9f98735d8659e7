package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client over plain sockets, for stand-ins on loopback. */
public final class Http {
  public record Answer(int status, byte[] body) {}

  public interface Handler {
    /** Returns the answer; null closes the connection without one. */
    Answer serve(String method, String uri, byte[] body) throws Exception;
  }

  private Http() {}

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int c = in.read(); ; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c == '\n') {
        return out.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      out.write(c);
    }
  }

  /** A server with one thread for each connection. */
  public static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    public Server(Handler handler) throws IOException {
      this.handler = handler;
      this.socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
      start("accept", this::accept);
    }

    public String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          open.add(connection);
          start("serve", () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          String[] first = line(in).split(" ");
          int length = 0;
          for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
              length = Integer.parseInt(header.substring(15).trim());
            }
          }
          byte[] body = in.readNBytes(length);
          Answer answer = handler.serve(first[0], first[1], body);
          if (answer == null) {
            return;
          }
          write(out, "HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json", answer.body());
        }
      } catch (Exception e) {
        // The peer has closed the connection, or the handler drops it.
      } finally {
        open.remove(connection);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    }
  }

  private static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] header =
        (head + "\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[header.length + body.length];
    System.arraycopy(header, 0, all, 0, header.length);
    System.arraycopy(body, 0, all, header.length, body.length);
    out.write(all);
    out.flush();
  }

  /** A client connection that is kept open between requests; any failure closes it. */
  public static final class Client implements AutoCloseable {
    private String address = "";
    private Socket socket;
    private InputStream in;

    /** Returns the answer; status 0 if none came in time. */
    public Answer call(String target, String method, String path, byte[] body, int timeoutMillis) {
      boolean reused = socket != null && address.equals(target);
      Answer answer = tryCall(target, method, path, body, timeoutMillis);
      // A server may close an idle connection; a sound client then opens another one.
      return answer == null && reused ? orNone(tryCall(target, method, path, body, timeoutMillis)) : orNone(answer);
    }

    private static Answer orNone(Answer answer) {
      return answer == null ? new Answer(0, new byte[0]) : answer;
    }

    private Answer tryCall(String target, String method, String path, byte[] body, int timeoutMillis) {
      long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
      try {
        if (socket == null || !address.equals(target)) {
          close();
          int colon = target.lastIndexOf(':');
          Socket opened = new Socket();
          opened.connect(
              new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
              Math.min(timeoutMillis, 1000));
          opened.setTcpNoDelay(true);
          socket = opened;
          address = target;
          in = new BufferedInputStream(opened.getInputStream());
        }
        socket.setSoTimeout(timeoutMillis);
        write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: " + target, body);
        String[] first = line(in).split(" ");
        int length = 0;
        boolean close = false;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
          String lower = header.toLowerCase();
          if (lower.startsWith("content-length:")) {
            length = Integer.parseInt(header.substring(15).trim());
          }
          close |= lower.equals("connection: close");
        }
        byte[] answer = in.readNBytes(length);
        if (close) {
          close();
        }
        return new Answer(Integer.parseInt(first[1]), answer);
      } catch (IOException e) {
        boolean late = System.nanoTime() > deadline - 5_000_000L;
        close();
        return late ? new Answer(0, new byte[0]) : null;
      }
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is closed either way.
      }
      socket = null;
    }
  }

  public static Answer once(String target, String method, String path, byte[] body, int timeoutMillis) {
    try (Client client = new Client()) {
      return client.call(target, method, path, body, timeoutMillis);
    }
  }

  public static Thread start(String name, Runnable run) {
    Thread thread = new Thread(null, run, name, 1024 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
