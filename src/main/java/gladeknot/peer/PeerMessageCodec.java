package gladeknot.peer;

import gladeknot.peer.PeerMessage.QuotaDeficit;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The binary encoding of a {@link PeerMessage}, which begins with the number of its format. When a
 * message has a later format than the reader knows, the reader decodes the fields that it knows and
 * ignores the fields that the later format adds at the end.
 */
final class PeerMessageCodec {
  /** The format of the first version, without cancelled jobs. */
  private static final int FORMAT_DEFICITS = 1;

  /** The format that adds cancelled jobs. */
  private static final int FORMAT_CANCELLATIONS = 2;

  /** The format that adds the sender's reachability; written only for messages that contain it. */
  private static final int FORMAT_REACHABILITY = 3;

  private PeerMessageCodec() {}

  static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      write(message, out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(PeerMessage message, DataOutputStream out) throws IOException {
    out.writeByte(message.reachability().isPresent() ? FORMAT_REACHABILITY : FORMAT_CANCELLATIONS);
    out.writeUTF(message.from());
    out.writeInt(message.shard());
    out.writeLong(message.term());
    out.writeInt(message.deficits().size());
    for (QuotaDeficit deficit : message.deficits()) {
      out.writeUTF(deficit.team());
      out.writeLong(deficit.cpus());
      out.writeLong(deficit.gpus());
    }
    out.writeInt(message.cancelledJobs().size());
    for (String id : message.cancelledJobs()) {
      out.writeUTF(id);
    }
    if (message.reachability().isPresent()) {
      out.writeBoolean(true);
      PeerReachabilityCodec.write(message.reachability().get(), out);
    }
  }

  /** Decodes a message; throws an IOException if it is malformed. */
  static PeerMessage decode(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    int format = in.readByte();
    if (format < FORMAT_DEFICITS) {
      throw new IOException("format " + format + ": must be at least " + FORMAT_DEFICITS);
    }
    PeerMessage message = read(in, format);
    if (format <= FORMAT_REACHABILITY && in.available() > 0) {
      throw new IOException(
          in.available() + " bytes after the last field of format " + format + ": must be 0");
    }
    return message;
  }

  private static PeerMessage read(DataInputStream in, int format) throws IOException {
    String from = in.readUTF();
    int shard = in.readInt();
    long term = in.readLong();
    int deficitCount = in.readInt();
    if (shard < 0 || deficitCount < 0 || deficitCount > PeerMessage.MAX_DEFICITS) {
      throw new IOException(
          "out of range: shard "
              + shard
              + " (allowed: 0 or more), number of deficits "
              + deficitCount
              + " (allowed: 0 to "
              + PeerMessage.MAX_DEFICITS
              + ")");
    }
    List<QuotaDeficit> deficits = new ArrayList<>();
    for (int i = 0; i < deficitCount; i++) {
      deficits.add(new QuotaDeficit(in.readUTF(), in.readLong(), in.readLong()));
    }
    List<String> cancelledJobs =
        format >= FORMAT_CANCELLATIONS ? readCancelledJobs(in) : new ArrayList<>();
    Optional<PeerReachability> reachability =
        format >= FORMAT_REACHABILITY && in.readBoolean()
            ? Optional.of(PeerReachabilityCodec.read(in))
            : Optional.empty();
    return new PeerMessage(from, shard, term, deficits, cancelledJobs, reachability);
  }

  private static List<String> readCancelledJobs(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > PeerMessage.MAX_CANCELLED_JOBS) {
      throw new IOException(
          "number of cancelled jobs "
              + count
              + ": must be from 0 to "
              + PeerMessage.MAX_CANCELLED_JOBS);
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(in.readUTF());
    }
    return ids;
  }
}
