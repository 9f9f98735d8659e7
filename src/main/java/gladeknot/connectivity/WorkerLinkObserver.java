package gladeknot.connectivity;

import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Draws evidence on the links to the workers, by zone: reports that come show that they reach us; a
 * worker that goes on reporting here without a pause has taken our answer, and one that comes back
 * after it has reported elsewhere has not. A zone's link fails in a direction when half of its
 * workers do.
 */
final class WorkerLinkObserver implements HeartbeatObserver {
  /** A worker waits so long for an answer before it goes to the next controller. */
  private static final long ANSWER_WAIT_MICROS = 4_000_000;

  /** Beyond the pace of reports: for answers that are held, and for the way. */
  private static final long GRACE_MICROS = 2_000_000;

  /** Reports come within so many times their usual interval. */
  private static final double LATEST_REPORT = 1.25;

  /** For so long a report counts as contact with a worker of another's shard. */
  private static final long CONTACT_MICROS = 10_000_000;

  private static final long SWEEP_MICROS = 500_000;

  private static final long NONE = Long.MIN_VALUE / 2;

  /** What is known of one worker. */
  private static final class Contact {
    private String zone;
    private int shard;
    private boolean ours;
    private long tenure;
    private long tick;
    private long reportMicros;
    private long answeredMicros = NONE;

    /** The report whose answer was surely taken, and since when answers were not. */
    private long heardMicros = NONE;

    private long deafSinceMicros = NONE;

    private boolean deaf() {
      return deafSinceMicros != NONE;
    }
  }

  /**
   * How many workers of a zone are ours, and how many of them are silent or deaf. What all the
   * others have shown counts from the oldest of their reports: those that are silent by now must
   * not look as if they had been heard since.
   */
  private static final class Population {
    private int all;
    private int silent;
    private int deaf;
    private long firstSilentMicros = Long.MAX_VALUE;
    private long firstDeafMicros = Long.MAX_VALUE;
    private long allReportedMicros = Long.MAX_VALUE;
    private long allHeardMicros = Long.MAX_VALUE;
  }

  private final LinkTable links;
  private final long latestReportMicros;
  private final Map<String, Contact> contacts = new LinkedHashMap<>();
  private long nowMicros;
  private long nextSweepMicros;

  WorkerLinkObserver(Settings settings, LinkTable links) {
    this.links = links;
    this.latestReportMicros = (long) (settings.workers().heartbeatMicros() * LATEST_REPORT);
  }

  @Override
  public void onHeartbeat(Arrival arrival) {
    Contact contact = contacts.computeIfAbsent(arrival.host(), h -> new Contact());
    if (contact.ours && arrival.owned()) {
      judgeAnswer(contact, arrival);
    } else {
      contact.deafSinceMicros = NONE;
      contact.heardMicros = NONE;
      contact.answeredMicros = NONE;
    }
    contact.zone = arrival.zone();
    contact.shard = arrival.shard();
    contact.ours = arrival.owned();
    contact.tenure = arrival.incarnation();
    contact.tick = arrival.sequence();
    contact.reportMicros = nowMicros;
  }

  /** Concludes from a report whether the answer to the one before it was taken. */
  private void judgeAnswer(Contact contact, Arrival arrival) {
    if (contact.answeredMicros < contact.reportMicros) {
      return;
    }
    boolean prompt = nowMicros - contact.reportMicros < ANSWER_WAIT_MICROS;
    boolean elsewhere =
        arrival.sequence() > contact.tick + 1 || arrival.incarnation() > contact.tenure;
    if (prompt || !elsewhere) {
      contact.deafSinceMicros = NONE;
      contact.heardMicros = contact.reportMicros;
    } else if (!contact.deaf()) {
      contact.deafSinceMicros = contact.reportMicros;
    }
  }

  @Override
  public void onAnswered(String host) {
    Contact contact = contacts.get(host);
    if (contact != null) {
      contact.answeredMicros = nowMicros;
    }
  }

  /** The shard has ceased to be ours: what its workers do here says nothing of our answers. */
  void lost(int shard) {
    Set<String> zones = new HashSet<>();
    for (Contact contact : contacts.values()) {
      if (contact.ours && contact.shard == shard) {
        zones.add(contact.zone);
      }
    }
    contacts.values().removeIf(c -> c.ours && c.shard == shard);
    contacts.values().stream().filter(c -> c.ours).forEach(c -> zones.remove(c.zone));
    // No worker of ours is left there: what was concluded would stand for ever.
    zones.forEach(zone -> links.forget(LinkId.workers(zone)));
  }

  @Override
  public String redirect(Arrival arrival, boolean idle) {
    return null;
  }

  /** Looks over all contacts and passes what they show to the zones' links. */
  void tick(long now) {
    nowMicros = now;
    if (now < nextSweepMicros) {
      return;
    }
    nextSweepMicros = now + SWEEP_MICROS;
    Map<String, Population> zones = new TreeMap<>();
    for (Iterator<Contact> all = contacts.values().iterator(); all.hasNext(); ) {
      Contact contact = all.next();
      long age = now - contact.reportMicros;
      if (contact.ours) {
        count(zones.computeIfAbsent(contact.zone, z -> new Population()), contact, age);
      } else if (age > CONTACT_MICROS) {
        all.remove();
      }
    }
    zones.forEach(this::conclude);
  }

  private void count(Population population, Contact contact, long age) {
    population.all++;
    if (age > latestReportMicros + GRACE_MICROS) {
      population.silent++;
      population.firstSilentMicros =
          Math.min(population.firstSilentMicros, contact.reportMicros + latestReportMicros);
      return;
    }
    population.allReportedMicros = Math.min(population.allReportedMicros, contact.reportMicros);
    if (contact.deaf()) {
      population.deaf++;
      population.firstDeafMicros = Math.min(population.firstDeafMicros, contact.deafSinceMicros);
    } else if (contact.heardMicros != NONE) {
      population.allHeardMicros = Math.min(population.allHeardMicros, contact.heardMicros);
    }
  }

  private void conclude(String zone, Population population) {
    DirectionHealth inbound = links.health(LinkId.workers(zone), Direction.INBOUND);
    DirectionHealth outbound = links.health(LinkId.workers(zone), Direction.OUTBOUND);
    if (2 * population.silent >= population.all) {
      inbound.overdue(population.firstSilentMicros);
      return;
    }
    inbound.proven(population.allReportedMicros);
    if (2 * population.deaf >= population.all) {
      outbound.overdue(population.firstDeafMicros);
    } else if (population.allHeardMicros != Long.MAX_VALUE) {
      outbound.proven(population.allHeardMicros);
    }
  }

  /** A worker of ours has been given back, or lent to another shard. */
  void forget(String host) {
    contacts.remove(host);
  }

  /** The workers that are followed as ours. */
  Iterable<String> ours() {
    return contacts.entrySet().stream()
        .filter(e -> e.getValue().ours)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** How many workers of each shard that is another's have reported here of late. */
  Map<Integer, Integer> strays() {
    Map<Integer, Integer> strays = new HashMap<>();
    for (Contact contact : contacts.values()) {
      if (!contact.ours && nowMicros - contact.reportMicros <= CONTACT_MICROS) {
        strays.merge(contact.shard, 1, Integer::sum);
      }
    }
    return strays;
  }
}
