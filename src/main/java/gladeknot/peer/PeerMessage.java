package gladeknot.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What a controller tells the others: which budgets hold up tasks that a shard has room for, and
 * which jobs it has just withdrawn. A hint that gets lost or comes twice changes nothing but how
 * soon budgets move and tasks are stopped.
 *
 * <p>A record begins with its format. Whoever reads takes what it knows of a format and leaves what
 * a later version added at the end.
 */
public record PeerMessage(
    String from, int shard, long term, List<Short> shorts, List<String> withdrawn) {
  /** What a team lacks in a shard, in thousandths. */
  public record Short(String team, long cpus, long gpus) {}

  /** In place of a shard where a hint is about none. */
  public static final int NO_SHARD = Integer.MAX_VALUE;

  private static final int FORMAT = 2;

  /** How many teams one message tells of; the others wait for a later one. */
  private static final int MOST_SHORTS = 1000;

  /** How many jobs one message tells of; its sender parts what is longer. */
  public static final int MOST_WITHDRAWN = 500;

  /** A hint about a shard's budgets. */
  public static PeerMessage ofShorts(String from, int shard, long term, List<Short> shorts) {
    List<Short> told = shorts.subList(0, Math.min(shorts.size(), MOST_SHORTS));
    return new PeerMessage(from, shard, term, List.copyOf(told), List.of());
  }

  /** A hint about jobs whose cancellation is committed. */
  public static PeerMessage ofWithdrawn(String from, List<String> ids) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), ids);
  }

  /** The record as it goes over the wire. */
  public byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeUTF(from);
      out.writeInt(shard);
      out.writeLong(term);
      out.writeInt(shorts.size());
      for (Short s : shorts) {
        out.writeUTF(s.team());
        out.writeLong(s.cpus());
        out.writeLong(s.gpus());
      }
      out.writeInt(withdrawn.size());
      for (String id : withdrawn) {
        out.writeUTF(id);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Reads a record; fails with IOException when it is garbled. */
  public static PeerMessage decode(byte[] record) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
    int format = in.readByte();
    if (format < 1) {
      throw new IOException("unknown format " + format);
    }
    String from = in.readUTF();
    int shard = in.readInt();
    long term = in.readLong();
    int count = in.readInt();
    if (shard < 0 || count < 0 || count > MOST_SHORTS) {
      throw new IOException("out of range");
    }
    List<Short> shorts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shorts.add(new Short(in.readUTF(), in.readLong(), in.readLong()));
    }
    List<String> withdrawn = new ArrayList<>();
    if (format >= 2) {
      int ids = in.readInt();
      if (ids < 0 || ids > MOST_WITHDRAWN) {
        throw new IOException("out of range");
      }
      for (int i = 0; i < ids; i++) {
        withdrawn.add(in.readUTF());
      }
    }
    if (format <= FORMAT && in.available() > 0) {
      throw new IOException("longer than it says");
    }
    return new PeerMessage(from, shard, term, shorts, withdrawn);
  }
}
