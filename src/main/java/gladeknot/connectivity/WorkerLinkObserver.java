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
 * direction. A worker that continues to send heartbeats here without a pause has received this
 * controller's response, which proves the outbound direction. A worker that returns after
 * heartbeats to other controllers has not. A zone's link fails in a direction when at least half of
 * the zone's workers fail in it.
 */
final class WorkerLinkObserver {
  /** A worker's response timeout, after which it tries the next controller. */
  private static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

  /** Margin added to the heartbeat interval, for long polls and network delay. */
  private static final long HEARTBEAT_MARGIN_MICROS = 2_000_000;

  /** Upper bound of the time between two heartbeats, in heartbeat intervals. */
  private static final double MAX_HEARTBEAT_INTERVALS = 1.25;

  /** Time for which a heartbeat counts as contact with a worker of a remote shard. */
  private static final long CONTACT_VALIDITY_MICROS = 10_000_000;

  private static final long SWEEP_INTERVAL_MICROS = 500_000;

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  /** The observations of one worker. */
  private static final class Contact {
    private String zone;
    private int shard;
    private boolean owned;
    private long incarnation;
    private long sequence;
    private long heartbeatMicros;
    private long answeredMicros = NEVER_MICROS;

    /** The time of the newest heartbeat whose response the worker has received. */
    private long confirmedMicros = NEVER_MICROS;

    /** The time of the first heartbeat whose response was lost, if the worker is unreachable. */
    private long unreachableSinceMicros = NEVER_MICROS;

    private boolean unreachable() {
      return unreachableSinceMicros != NEVER_MICROS;
    }
  }

  /**
   * Counts of a zone's workers of owned shards: all of them, those whose heartbeats have timed out
   * and those that receive no responses. Evidence from the remaining workers is dated with the
   * oldest of their heartbeats, so that it never counts as proof for workers that timed out later.
   */
  private static final class ZoneCounts {
    private int all;
    private int timedOut;
    private int unreachable;
    private long firstTimedOutMicros = Long.MAX_VALUE;
    private long firstUnreachableMicros = Long.MAX_VALUE;
    private long oldestHeartbeatMicros = Long.MAX_VALUE;
    private long oldestConfirmedMicros = Long.MAX_VALUE;
  }

  private final LinkTable links;
  private final long maxHeartbeatIntervalMicros;
  private final Map<String, Contact> contacts = new LinkedHashMap<>();
  private long nowMicros;
  private long nextSweepMicros;

  WorkerLinkObserver(Settings settings, LinkTable links) {
    this.links = links;
    this.maxHeartbeatIntervalMicros =
        (long) (settings.workers().heartbeatMicros() * MAX_HEARTBEAT_INTERVALS);
  }

  /** Handles a heartbeat that is newer than all earlier ones of its worker. */
  void onHeartbeat(Arrival arrival) {
    Contact contact = contacts.computeIfAbsent(arrival.host(), host -> new Contact());
    if (contact.owned && arrival.owned()) {
      evaluateResponse(contact, arrival);
    } else {
      contact.unreachableSinceMicros = NEVER_MICROS;
      contact.confirmedMicros = NEVER_MICROS;
      contact.answeredMicros = NEVER_MICROS;
    }
    contact.zone = arrival.zone();
    contact.shard = arrival.shard();
    contact.owned = arrival.owned();
    contact.incarnation = arrival.incarnation();
    contact.sequence = arrival.sequence();
    contact.heartbeatMicros = nowMicros;
  }

  /** Derives from a heartbeat whether the response to the previous one was received. */
  private void evaluateResponse(Contact contact, Arrival arrival) {
    if (contact.answeredMicros < contact.heartbeatMicros) {
      return;
    }
    boolean withinTimeout = nowMicros - contact.heartbeatMicros < RESPONSE_TIMEOUT_MICROS;
    boolean contactedOthers =
        arrival.sequence() > contact.sequence + 1 || arrival.incarnation() > contact.incarnation;
    if (withinTimeout || !contactedOthers) {
      contact.unreachableSinceMicros = NEVER_MICROS;
      contact.confirmedMicros = contact.heartbeatMicros;
    } else if (!contact.unreachable()) {
      contact.unreachableSinceMicros = contact.heartbeatMicros;
    }
  }

  /** Called when a heartbeat of a worker of an owned shard is answered with 200. */
  void onAnswered(String host) {
    Contact contact = contacts.get(host);
    if (contact != null) {
      contact.answeredMicros = nowMicros;
    }
  }

  /** Discards the workers of a released shard: their heartbeats are no evidence any longer. */
  void onReleased(int shard) {
    Set<String> zones = new HashSet<>();
    for (Contact contact : contacts.values()) {
      if (contact.owned && contact.shard == shard) {
        zones.add(contact.zone);
      }
    }
    contacts.values().removeIf(contact -> contact.owned && contact.shard == shard);
    contacts.values().stream()
        .filter(contact -> contact.owned)
        .forEach(contact -> zones.remove(contact.zone));
    // These zones have no owned workers left; their last verdicts would never change again.
    zones.forEach(zone -> links.remove(LinkId.workers(zone)));
  }

  /** Advances the time and records the evidence of all workers on the links of their zones. */
  void tick(long steadyMicros) {
    nowMicros = steadyMicros;
    if (steadyMicros < nextSweepMicros) {
      return;
    }
    nextSweepMicros = steadyMicros + SWEEP_INTERVAL_MICROS;
    Map<String, ZoneCounts> zones = new TreeMap<>();
    for (Iterator<Contact> all = contacts.values().iterator(); all.hasNext(); ) {
      Contact contact = all.next();
      long ageMicros = steadyMicros - contact.heartbeatMicros;
      if (contact.owned) {
        count(zones.computeIfAbsent(contact.zone, zone -> new ZoneCounts()), contact, ageMicros);
      } else if (ageMicros > CONTACT_VALIDITY_MICROS) {
        all.remove();
      }
    }
    zones.forEach(this::updateLink);
  }

  private void count(ZoneCounts counts, Contact contact, long ageMicros) {
    counts.all++;
    if (ageMicros > maxHeartbeatIntervalMicros + HEARTBEAT_MARGIN_MICROS) {
      counts.timedOut++;
      counts.firstTimedOutMicros =
          Math.min(
              counts.firstTimedOutMicros, contact.heartbeatMicros + maxHeartbeatIntervalMicros);
      return;
    }
    counts.oldestHeartbeatMicros = Math.min(counts.oldestHeartbeatMicros, contact.heartbeatMicros);
    if (contact.unreachable()) {
      counts.unreachable++;
      counts.firstUnreachableMicros =
          Math.min(counts.firstUnreachableMicros, contact.unreachableSinceMicros);
    } else if (contact.confirmedMicros != NEVER_MICROS) {
      counts.oldestConfirmedMicros =
          Math.min(counts.oldestConfirmedMicros, contact.confirmedMicros);
    }
  }

  private void updateLink(String zone, ZoneCounts counts) {
    DirectionHealth inbound = links.health(LinkId.workers(zone), Direction.INBOUND);
    DirectionHealth outbound = links.health(LinkId.workers(zone), Direction.OUTBOUND);
    if (2 * counts.timedOut >= counts.all) {
      inbound.recordOverdue(counts.firstTimedOutMicros);
      return;
    }
    inbound.recordProven(counts.oldestHeartbeatMicros);
    if (2 * counts.unreachable >= counts.all) {
      outbound.recordOverdue(counts.firstUnreachableMicros);
    } else if (counts.oldestConfirmedMicros != Long.MAX_VALUE) {
      outbound.recordProven(counts.oldestConfirmedMicros);
    }
  }

  /** Discards workers of owned shards that are not named, as they were released or transferred. */
  void retainOwned(Set<String> hosts) {
    contacts
        .entrySet()
        .removeIf(contact -> contact.getValue().owned && !hosts.contains(contact.getKey()));
  }

  /** Returns the number of workers of each remote shard that recently sent heartbeats here. */
  Map<Integer, Integer> remoteContacts() {
    Map<Integer, Integer> remoteContacts = new HashMap<>();
    for (Contact contact : contacts.values()) {
      if (!contact.owned && nowMicros - contact.heartbeatMicros <= CONTACT_VALIDITY_MICROS) {
        remoteContacts.merge(contact.shard, 1, Integer::sum);
      }
    }
    return remoteContacts;
  }
}
