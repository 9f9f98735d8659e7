package gladeknot.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What a controller tells the others of its links: whom it hears, what it reaches, and which shards
 * it offers, would take, or has yielded. Each record holds all of it, so that a later one makes up
 * for those that were lost; {@code life} and {@code sequence} order them.
 */
public record PeerReach(
    long life,
    long sequence,
    boolean stateSteady,
    List<Heard> heard,
    List<ZoneReach> zones,
    List<ShardContact> contacts,
    List<ShardOffer> offers,
    List<ShardAccept> accepts) {
  /** The newest record of {@code subject} that {@code observer} has received. */
  public record Heard(String observer, String subject, long life, long sequence) {}

  /** How well the workers of a zone are reached, from 0 to 100. */
  public record ZoneReach(String zone, int percent) {}

  /** How many workers of another's shard have reported here of late. */
  public record ShardContact(int shard, int workers) {}

  /**
   * A shard that its owner, in one life of its process, can't use, offered to one controller under
   * every term up to the given one. Once {@code yielded}, the owner does nothing more under any of
   * these.
   */
  public record ShardOffer(int shard, long incarnation, long term, String to, boolean yielded) {}

  /** An offer that its receiver can make use of. */
  public record ShardAccept(int shard, long term, String from) {}

  /** Bounds what one record holds, so that it stays below a connection's limit. */
  public static final int MAX_ENTRIES = 400;

  void write(DataOutputStream out) throws IOException {
    out.writeLong(life);
    out.writeLong(sequence);
    out.writeBoolean(stateSteady);
    out.writeInt(heard.size());
    for (Heard h : heard) {
      out.writeUTF(h.observer());
      out.writeUTF(h.subject());
      out.writeLong(h.life());
      out.writeLong(h.sequence());
    }
    out.writeInt(zones.size());
    for (ZoneReach z : zones) {
      out.writeUTF(z.zone());
      out.writeInt(z.percent());
    }
    out.writeInt(contacts.size());
    for (ShardContact c : contacts) {
      out.writeInt(c.shard());
      out.writeInt(c.workers());
    }
    out.writeInt(offers.size());
    for (ShardOffer o : offers) {
      out.writeInt(o.shard());
      out.writeLong(o.incarnation());
      out.writeLong(o.term());
      out.writeUTF(o.to());
      out.writeBoolean(o.yielded());
    }
    out.writeInt(accepts.size());
    for (ShardAccept a : accepts) {
      out.writeInt(a.shard());
      out.writeLong(a.term());
      out.writeUTF(a.from());
    }
  }

  private interface Element<T> {
    T read() throws IOException;
  }

  private static <T> List<T> list(DataInputStream in, Element<T> element) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > MAX_ENTRIES) {
      throw new IOException("out of range");
    }
    List<T> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(element.read());
    }
    return list;
  }

  static PeerReach read(DataInputStream in) throws IOException {
    PeerReach reach =
        new PeerReach(
            in.readLong(),
            in.readLong(),
            in.readBoolean(),
            list(in, () -> new Heard(in.readUTF(), in.readUTF(), in.readLong(), in.readLong())),
            list(in, () -> new ZoneReach(in.readUTF(), in.readInt())),
            list(in, () -> new ShardContact(in.readInt(), in.readInt())),
            list(
                in,
                () ->
                    new ShardOffer(
                        in.readInt(),
                        in.readLong(),
                        in.readLong(),
                        in.readUTF(),
                        in.readBoolean())),
            list(in, () -> new ShardAccept(in.readInt(), in.readLong(), in.readUTF())));
    reach.check();
    return reach;
  }

  private void check() throws IOException {
    boolean zonesRight = zones.stream().allMatch(z -> z.percent() >= 0 && z.percent() <= 100);
    boolean contactsRight = contacts.stream().allMatch(c -> c.shard() >= 0 && c.workers() >= 0);
    boolean offersRight = offers.stream().allMatch(o -> o.shard() >= 0 && o.term() > 0);
    boolean acceptsRight = accepts.stream().allMatch(a -> a.shard() >= 0 && a.term() > 0);
    if (sequence < 1 || !zonesRight || !contactsRight || !offersRight || !acceptsRight) {
      throw new IOException("out of range");
    }
  }
}
