package gladeknot.peer;

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
 * What a controller tells the others: which budgets hold up tasks that a shard has room for, which
 * jobs it has just withdrawn, and what it reaches. A hint that gets lost or comes twice changes
 * nothing but how soon budgets move and tasks are stopped.
 *
 * <p>A record begins with its format. Whoever reads takes what it knows of a format and leaves what
 * a later version added at the end.
 */
public record PeerMessage(
    String from,
    int shard,
    long term,
    List<QuotaDeficit> deficits,
    List<String> cancelledJobs,
    Optional<PeerReach> reach) {
  /** What a team lacks in a shard, in thousandths. */
  public record QuotaDeficit(String team, long cpus, long gpus) {}

  /** In place of a shard where a hint is about none. */
  public static final int NO_SHARD = Integer.MAX_VALUE;

  /** The format that a record without news of links has, and the one that carries them. */
  private static final int PLAIN_FORMAT = 2;

  private static final int REACH_FORMAT = 3;

  /** How many teams one message tells of; the others wait for a later one. */
  private static final int MAX_DEFICITS = 1000;

  /** How many jobs one message tells of; its sender parts what is longer. */
  public static final int MAX_CANCELLED_JOBS = 500;

  /** A hint about a shard's budgets. */
  public static PeerMessage ofDeficits(
      String from, int shard, long term, List<QuotaDeficit> shorts) {
    List<QuotaDeficit> told = shorts.subList(0, Math.min(shorts.size(), MAX_DEFICITS));
    return new PeerMessage(from, shard, term, List.copyOf(told), List.of(), Optional.empty());
  }

  /** A hint about jobs whose cancellation is committed. */
  public static PeerMessage ofCancelledJobs(String from, List<String> ids) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), ids, Optional.empty());
  }

  /** What a controller reaches. */
  public static PeerMessage ofReach(String from, PeerReach reach) {
    return new PeerMessage(from, NO_SHARD, 0, List.of(), List.of(), Optional.of(reach));
  }

  /** The record as it goes over the wire. */
  public byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(reach.isPresent() ? REACH_FORMAT : PLAIN_FORMAT);
      out.writeUTF(from);
      out.writeInt(shard);
      out.writeLong(term);
      out.writeInt(deficits.size());
      for (QuotaDeficit s : deficits) {
        out.writeUTF(s.team());
        out.writeLong(s.cpus());
        out.writeLong(s.gpus());
      }
      out.writeInt(cancelledJobs.size());
      for (String id : cancelledJobs) {
        out.writeUTF(id);
      }
      if (reach.isPresent()) {
        out.writeBoolean(true);
        reach.get().write(out);
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
    if (shard < 0 || count < 0 || count > MAX_DEFICITS) {
      throw new IOException("out of range");
    }
    List<QuotaDeficit> shorts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shorts.add(new QuotaDeficit(in.readUTF(), in.readLong(), in.readLong()));
    }
    List<String> withdrawn = new ArrayList<>();
    if (format >= PLAIN_FORMAT) {
      int ids = in.readInt();
      if (ids < 0 || ids > MAX_CANCELLED_JOBS) {
        throw new IOException("out of range");
      }
      for (int i = 0; i < ids; i++) {
        withdrawn.add(in.readUTF());
      }
    }
    Optional<PeerReach> reach =
        format >= REACH_FORMAT && in.readBoolean()
            ? Optional.of(PeerReach.read(in))
            : Optional.empty();
    if (format <= REACH_FORMAT && in.available() > 0) {
      throw new IOException("longer than it says");
    }
    return new PeerMessage(from, shard, term, shorts, withdrawn, reach);
  }
}
