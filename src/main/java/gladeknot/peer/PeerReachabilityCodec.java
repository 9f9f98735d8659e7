package gladeknot.peer;

import gladeknot.peer.PeerReachability.Observation;
import gladeknot.peer.PeerReachability.ShardAccept;
import gladeknot.peer.PeerReachability.ShardContact;
import gladeknot.peer.PeerReachability.ShardOffer;
import gladeknot.peer.PeerReachability.ZoneReachability;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The binary encoding of a {@link PeerReachability}; each list is preceded by its length. */
final class PeerReachabilityCodec {
  private static final int MAX_PERCENT = 100;

  private interface ElementWriter<T> {
    void write(T element) throws IOException;
  }

  private interface ElementReader<T> {
    T read() throws IOException;
  }

  private PeerReachabilityCodec() {}

  static void write(PeerReachability reachability, DataOutputStream out) throws IOException {
    out.writeLong(reachability.processStartMicros());
    out.writeLong(reachability.sequence());
    out.writeBoolean(reachability.stateSteady());
    writeList(reachability.observations(), out, observation -> write(observation, out));
    writeList(reachability.zones(), out, zone -> write(zone, out));
    writeList(reachability.contacts(), out, contact -> write(contact, out));
    writeList(reachability.offers(), out, offer -> write(offer, out));
    writeList(reachability.accepts(), out, accept -> write(accept, out));
  }

  private static <T> void writeList(List<T> list, DataOutputStream out, ElementWriter<T> writer)
      throws IOException {
    out.writeInt(list.size());
    for (T element : list) {
      writer.write(element);
    }
  }

  private static void write(Observation observation, DataOutputStream out) throws IOException {
    out.writeUTF(observation.observer());
    out.writeUTF(observation.subject());
    out.writeLong(observation.processStartMicros());
    out.writeLong(observation.sequence());
  }

  private static void write(ZoneReachability zone, DataOutputStream out) throws IOException {
    out.writeUTF(zone.zone());
    out.writeInt(zone.percent());
  }

  private static void write(ShardContact contact, DataOutputStream out) throws IOException {
    out.writeInt(contact.shard());
    out.writeInt(contact.workers());
  }

  private static void write(ShardOffer offer, DataOutputStream out) throws IOException {
    out.writeInt(offer.shard());
    out.writeLong(offer.incarnation());
    out.writeLong(offer.term());
    out.writeUTF(offer.to());
    out.writeBoolean(offer.relinquished());
  }

  private static void write(ShardAccept accept, DataOutputStream out) throws IOException {
    out.writeInt(accept.shard());
    out.writeLong(accept.term());
    out.writeUTF(accept.from());
  }

  /** Reads a controller's reachability; throws an IOException if a value is out of range. */
  static PeerReachability read(DataInputStream in) throws IOException {
    // Java evaluates arguments from left to right, which is the order of encoding.
    PeerReachability reachability =
        new PeerReachability(
            in.readLong(),
            in.readLong(),
            in.readBoolean(),
            readList(in, "observations", () -> readObservation(in)),
            readList(in, "zones", () -> new ZoneReachability(in.readUTF(), in.readInt())),
            readList(in, "contacts", () -> new ShardContact(in.readInt(), in.readInt())),
            readList(in, "offers", () -> readOffer(in)),
            readList(
                in, "accepts", () -> new ShardAccept(in.readInt(), in.readLong(), in.readUTF())));
    if (!isInRange(reachability)) {
      throw new IOException(
          "reachability with sequence "
              + reachability.sequence()
              + " has a value out of range: sequence must be at least 1, each percent from 0 to "
              + MAX_PERCENT
              + ", each shard and number of workers 0 or more, each term above 0");
    }
    return reachability;
  }

  private static <T> List<T> readList(DataInputStream in, String name, ElementReader<T> reader)
      throws IOException {
    int count = in.readInt();
    if (count < 0 || count > PeerReachability.MAX_ENTRIES) {
      throw new IOException(
          "number of "
              + name
              + " "
              + count
              + ": must be from 0 to "
              + PeerReachability.MAX_ENTRIES);
    }
    List<T> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(reader.read());
    }
    return list;
  }

  private static Observation readObservation(DataInputStream in) throws IOException {
    return new Observation(in.readUTF(), in.readUTF(), in.readLong(), in.readLong());
  }

  private static ShardOffer readOffer(DataInputStream in) throws IOException {
    return new ShardOffer(
        in.readInt(), in.readLong(), in.readLong(), in.readUTF(), in.readBoolean());
  }

  private static boolean isInRange(PeerReachability reachability) {
    return reachability.sequence() >= 1
        && reachability.zones().stream().allMatch(PeerReachabilityCodec::isInRange)
        && reachability.contacts().stream().allMatch(PeerReachabilityCodec::isInRange)
        && reachability.offers().stream().allMatch(PeerReachabilityCodec::isInRange)
        && reachability.accepts().stream().allMatch(PeerReachabilityCodec::isInRange);
  }

  private static boolean isInRange(ZoneReachability zone) {
    return zone.percent() >= 0 && zone.percent() <= MAX_PERCENT;
  }

  private static boolean isInRange(ShardContact contact) {
    return contact.shard() >= 0 && contact.workers() >= 0;
  }

  private static boolean isInRange(ShardOffer offer) {
    return offer.shard() >= 0 && offer.term() > 0;
  }

  private static boolean isInRange(ShardAccept accept) {
    return accept.shard() >= 0 && accept.term() > 0;
  }
}
