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
 * What a controller tells the others of a shard: which budgets hold up tasks that it has room for.
 * Nothing depends on a hint's arriving, or on its truth, but how soon budgets move.
 */
public record Hint(String from, int shard, long term, List<Short> shorts) {
  /** What a team lacks in a shard, in thousandths. */
  public record Short(String team, long cpus, long gpus) {}

  private static final int FORMAT = 1;
  private static final int MOST_SHORTS = 1000;

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
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Reads a record; fails with IOException when it is garbled. */
  public static Hint decode(byte[] record) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
    int format = in.readByte();
    if (format != FORMAT) {
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
    if (in.available() > 0) {
      throw new IOException("longer than it says");
    }
    return new Hint(from, shard, term, shorts);
  }
}
