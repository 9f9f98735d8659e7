package gladeknot.connectivity;

import gladeknot.connectivity.HeartbeatObserver.Arrival;
import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Derives evidence on the links to the workers, by zone. Heartbeats that arrive prove the inbound
 * direction. A worker that continues here without a pause has received this controller's response,
 * which proves the outbound direction; one that comes back after heartbeats to other controllers
 * has not. A zone's link fails in a direction when half of its workers do.
 */
final class WorkerLinkObserver {
  /** A worker waits so long for a response before it tries the next controller. */
  private static final long ANSWER_WAIT_MICROS = 4_000_000;

  /** Added to the heartbeat interval: for long polls and the time on the way. */
  private static final long GRACE_MICROS = 2_000_000;

  /** Heartbeats arrive within so many times their usual interval. */
  private static final double LATEST_HEARTBEAT_INTERVALS = 1.25;

  /** For so long a heartbeat counts as contact with a worker of a remote shard. */
  private static final long CONTACT_MICROS = 10_000_000;

  private static final long SWEEP_MICROS = 500_000;

  private static final long NONE = Long.MIN_VALUE / 2;

  /** What is known of one worker. */
  private static final class Contact {
    private String zone;
    private int shard;
    private boolean owned;
    private long incarnation;
    private long sequence;
    private long heartbeatMicros;
    private long answeredMicros = NONE;

    /** The newest heartbeat whose response was received, and since when responses were lost. */
    private long confirmedMicros = NONE;

    private long unreachedSinceMicros = NONE;

    private boolean unreached() {
      return unreachedSinceMicros != NONE;
    }
  }

  /**
   * How many workers of owned shards a zone has, how many of them have timed out, and how many are
   * unreached by responses. What all the others have proved counts from the oldest of their
   * heartbeats: those that have timed out by now must not look as if they were proved since.
   */
  private static final class Population {
    private int all;
    private int timedOut;
    private int unreached;
    private long firstTimedOutMicros = Long.MAX_VALUE;
    private long firstUnreachedMicros = Long.MAX_VALUE;
    private long allInboundMicros = Long.MAX_VALUE;
    private long allConfirmedMicros = Long.MAX_VALUE;
  }

  private final LinkTable links;
  private final long latestHeartbeatMicros;
  private final Map<String, Contact> contacts = new LinkedHashMap<>();
  private long nowMicros;
  private long nextSweepMicros;

  WorkerLinkObserver(Settings settings, LinkTable links) {
    this.links = links;
    this.latestHeartbeatMicros =
        (long) (settings.workers().heartbeatMicros() * LATEST_HEARTBEAT_INTERVALS);
  }

  /** A heartbeat has arrived that is newer than those before it. */
  void onHeartbeat(Arrival arrival) {
    Contact contact = contacts.computeIfAbsent(arrival.host(), h -> new Contact());
    if (contact.owned && arrival.owned()) {
      judgeAnswer(contact, arrival);
    } else {
      contact.unreachedSinceMicros = NONE;
      contact.confirmedMicros = NONE;
      contact.answeredMicros = NONE;
    }
    contact.zone = arrival.zone();
    contact.shard = arrival.shard();
    contact.owned = arrival.owned();
    contact.incarnation = arrival.incarnation();
    contact.sequence = arrival.sequence();
    contact.heartbeatMicros = nowMicros;
  }

  /** Concludes from a heartbeat whether the response to the one before it was received. */
  private void judgeAnswer(Contact contact, Arrival arrival) {
    if (contact.answeredMicros < contact.heartbeatMicros) {
      return;
    }
    boolean prompt = nowMicros - contact.heartbeatMicros < ANSWER_WAIT_MICROS;
    boolean elsewhere =
        arrival.sequence() > contact.sequence + 1 || arrival.incarnation() > contact.incarnation;
    if (prompt || !elsewhere) {
      contact.unreachedSinceMicros = NONE;
      contact.confirmedMicros = contact.heartbeatMicros;
    } else if (!contact.unreached()) {
      contact.unreachedSinceMicros = contact.heartbeatMicros;
    }
  }

  /** The heartbeat of a worker of an owned shard is answered with 200. */
  void onAnswered(String host) {
    Contact contact = contacts.get(host);
    if (contact != null) {
      contact.answeredMicros = nowMicros;
    }
  }

  /** The shard is not owned any more: its workers' heartbeats here prove nothing any more. */
  void onReleased(int shard) {
    Set<String> zones = new HashSet<>();
    for (Contact contact : contacts.values()) {
      if (contact.owned && contact.shard == shard) {
        zones.add(contact.zone);
      }
    }
    contacts.values().removeIf(c -> c.owned && c.shard == shard);
    contacts.values().stream().filter(c -> c.owned).forEach(c -> zones.remove(c.zone));
    // No owned worker is left in these zones: their last verdicts would stand for ever.
    zones.forEach(zone -> links.forget(LinkId.workers(zone)));
  }

  /** Advances the time, and passes what all contacts show to the zones' links. */
  void tick(long now) {
    nowMicros = now;
    if (now < nextSweepMicros) {
      return;
    }
    nextSweepMicros = now + SWEEP_MICROS;
    Map<String, Population> zones = new TreeMap<>();
    for (Iterator<Contact> all = contacts.values().iterator(); all.hasNext(); ) {
      Contact contact = all.next();
      long age = now - contact.heartbeatMicros;
      if (contact.owned) {
        count(zones.computeIfAbsent(contact.zone, z -> new Population()), contact, age);
      } else if (age > CONTACT_MICROS) {
        all.remove();
      }
    }
    zones.forEach(this::conclude);
  }

  private void count(Population population, Contact contact, long age) {
    population.all++;
    if (age > latestHeartbeatMicros + GRACE_MICROS) {
      population.timedOut++;
      population.firstTimedOutMicros =
          Math.min(population.firstTimedOutMicros, contact.heartbeatMicros + latestHeartbeatMicros);
      return;
    }
    population.allInboundMicros = Math.min(population.allInboundMicros, contact.heartbeatMicros);
    if (contact.unreached()) {
      population.unreached++;
      population.firstUnreachedMicros =
          Math.min(population.firstUnreachedMicros, contact.unreachedSinceMicros);
    } else if (contact.confirmedMicros != NONE) {
      population.allConfirmedMicros =
          Math.min(population.allConfirmedMicros, contact.confirmedMicros);
    }
  }

  private void conclude(String zone, Population population) {
    DirectionHealth inbound = links.health(LinkId.workers(zone), Direction.INBOUND);
    DirectionHealth outbound = links.health(LinkId.workers(zone), Direction.OUTBOUND);
    if (2 * population.timedOut >= population.all) {
      inbound.overdue(population.firstTimedOutMicros);
      return;
    }
    inbound.proven(population.allInboundMicros);
    if (2 * population.unreached >= population.all) {
      outbound.overdue(population.firstUnreachedMicros);
    } else if (population.allConfirmedMicros != Long.MAX_VALUE) {
      outbound.proven(population.allConfirmedMicros);
    }
  }

  /** Of the workers of owned shards, keeps those named; the others were released or moved. */
  void retainOwned(Set<String> hosts) {
    contacts
        .entrySet()
        .removeIf(contact -> contact.getValue().owned && !hosts.contains(contact.getKey()));
  }

  /** How many workers of each remote shard have sent heartbeats here recently. */
  Map<Integer, Integer> remoteContacts() {
    Map<Integer, Integer> remoteContacts = new HashMap<>();
    for (Contact contact : contacts.values()) {
      if (!contact.owned && nowMicros - contact.heartbeatMicros <= CONTACT_MICROS) {
        remoteContacts.merge(contact.shard, 1, Integer::sum);
      }
    }
    return remoteContacts;
  }
}
