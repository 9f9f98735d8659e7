package gladeknot.workers;

import gladeknot.placement.Attempt;
import gladeknot.state.StateStore;
import java.util.LinkedHashMap;
import java.util.Map;

/** A rented machine: its key, and for those of our shards its newest report. */
public final class Worker {
  public static final String KEYS = StateStore.ROOT + "w/";

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Stored for a machine that was released: its name never comes up again, copies of it may. */
  public static final String RELEASED = "-";

  private final String host;
  private int shard;
  private String type = "";
  private String zone = "";
  private boolean spot;
  private long rentedWallMicros;
  private boolean leaving;
  private boolean entered;

  /** Where it listens, by the cloud's list. */
  private String listedEndpoint;

  private Report report;
  private long reportMicros;
  private long answeredMicros = NEVER;

  /** The term of the last answer, and the answer before it that may have got there. */
  private long answeredTerm;

  private long answeredBefore = NEVER;
  private long recallAtMicros;

  /** Attempts by task name, for all shards as far as the followed copy tells. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** Images that it has, the newest last, with their sizes. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Failures in a row, and the job of the last. */
  public int errors;

  public String lastErrorJob = "";

  private boolean deaf;
  private boolean surelyDeaf;
  private long deafSinceMicros;
  private long deafTenure;
  private long askedMicros = NEVER;

  /** Nothing new before this. */
  public long restUntilMicros;

  /** Since when nothing is on it; 0 while something is. */
  public long idleSinceMicros;

  /** Whether the work there is likely to be fits on the other machines. */
  public boolean unneeded;

  /** Whether its release is under way. */
  public boolean releasing;

  Worker(String host) {
    this.host = host;
  }

  /**
   * The key that a machine lies in: those whose names differ in the last sign alone share one, so
   * that a rental, which brings names in a row, takes few writes. A machine is in one key whatever
   * its shard, so that no two shards can enter it.
   */
  public static String key(String host) {
    return KEYS + host.substring(0, host.length() - 1) + "-";
  }

  /** Its field in that key. */
  public static String field(String host) {
    return host.substring(host.length() - 1);
  }

  /** The machine that a field of a key is about. */
  static String host(String key, String field) {
    return key.substring(KEYS.length(), key.length() - 1) + field;
  }

  /** What is stored for a machine. */
  public static String record(
      int shard, String type, String zone, boolean spot, long rentedWallMicros, boolean leaving) {
    return shard
        + "|"
        + type
        + "|"
        + zone
        + "|"
        + (spot ? "s" : "o")
        + "|"
        + rentedWallMicros
        + "|"
        + (leaving ? "x" : "");
  }

  public String record(int inShard, boolean isLeaving) {
    return record(inShard, type, zone, spot, rentedWallMicros, isLeaving);
  }

  /** Its record as the followed copy has it; null if it isn't entered. */
  public String record() {
    return entered ? record(shard, leaving) : null;
  }

  void read(String record) {
    String[] f = record.split("\\|", -1);
    shard = Integer.parseInt(f[0]);
    type = f[1];
    zone = f[2];
    spot = f[3].equals("s");
    rentedWallMicros = Long.parseLong(f[4]);
    leaving = f[5].equals("x");
    entered = true;
  }

  /** Its record has gone, and with it the machine. */
  void gone() {
    entered = false;
    leaving = true;
  }

  void report(Report newest, long nowMicros) {
    if (newest.token() < answeredTerm) {
      // It has not seen the token of our last answer: that got lost, and renewed no lease.
      answeredMicros = answeredBefore;
      answeredTerm = 0;
    }
    report = newest;
    reportMicros = nowMicros;
    recallAtMicros = newest.recallS() < 0 ? 0 : nowMicros + (long) (newest.recallS() * 1e6);
  }

  void answered(long nowMicros, long term) {
    if (answeredTerm == 0 || report.token() >= answeredTerm) {
      answeredBefore = answeredMicros;
    }
    answeredTerm = term;
    answeredMicros = nowMicros;
  }

  /** Notes that our answers don't reach it: nothing new goes there until one does. */
  public void doesNotHear(long nowMicros) {
    if (!deaf) {
      deaf = true;
      deafSinceMicros = nowMicros;
      deafTenure = report.tenure();
    }
  }

  /**
   * Looks at what its newest report says of that: a session that outlasts a lease has been
   * answered, so that an answer or two were only late; one that has ended meanwhile has not.
   */
  public void judgeHearing(long nowMicros, long leaseMicros) {
    if (!deaf) {
      return;
    }
    if (report.tenure() > deafTenure) {
      surelyDeaf = true;
    } else if (nowMicros - deafSinceMicros > leaseMicros) {
      hears();
    }
  }

  /** Whether a session has ended for want of the answers that were given in it. */
  public boolean surelyDeaf() {
    return surelyDeaf;
  }

  /** Notes that a command of ours was carried out. */
  public void hears() {
    deaf = false;
    surelyDeaf = false;
  }

  public boolean deaf() {
    return deaf;
  }

  /** Whether its state is worth asking for: what it sends is older than what it has sent. */
  boolean mayAsk(long nowMicros, long gapMicros) {
    if (nowMicros < askedMicros + gapMicros) {
      return false;
    }
    askedMicros = nowMicros;
    return true;
  }

  /** It has begun anew, without what was on it: older sessions count no more. */
  void restarted() {
    report = null;
    answeredTerm = 0;
  }

  /** Notes an image that it has, forgetting those used longest ago when they don't fit. */
  public void hasImage(String image, double gb, double cacheGb) {
    Double known = images.put(image, gb);
    if (known != null && known == gb) {
      return;
    }
    double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = images.entrySet().iterator();
    while (sum > cacheGb && oldest.hasNext()) {
      sum -= oldest.next().getValue();
      oldest.remove();
    }
  }

  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  public java.util.Collection<String> images() {
    return images.keySet();
  }

  /** Forgets the session, as when its shard has come from another controller. */
  void forget() {
    report = null;
    reportMicros = 0;
    answeredMicros = NEVER;
    answeredBefore = NEVER;
    answeredTerm = 0;
    recallAtMicros = 0;
  }

  public String host() {
    return host;
  }

  public int shard() {
    return shard;
  }

  public String type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public long rentedWallMicros() {
    return rentedWallMicros;
  }

  public boolean leaving() {
    return leaving;
  }

  /** Whether the state store has it. */
  public boolean entered() {
    return entered;
  }

  public Report report() {
    return report;
  }

  /** Where commands reach it; null if that is not known. */
  public String endpoint() {
    return report != null ? report.endpoint() : listedEndpoint;
  }

  public void listed(String endpoint) {
    listedEndpoint = endpoint;
  }

  public long reportMicros() {
    return reportMicros;
  }

  /**
   * When a command can next reach it: runs go in answers alone, and a report that is held for a
   * start has still to be answered.
   */
  public long nextAnswerMicros(long reportEveryMicros) {
    return answeredMicros < reportMicros ? reportMicros : reportMicros + reportEveryMicros;
  }

  public long answeredMicros() {
    return answeredMicros;
  }

  /** When the cloud takes it away; 0 if it stays. */
  public long recallAtMicros() {
    return recallAtMicros;
  }

  /** Whether a start decided for it waits to be committed. */
  boolean startsPending() {
    for (Attempt a : attempts.values()) {
      if (!a.closed() && !a.committed()) {
        return true;
      }
    }
    return false;
  }

  /** Whether a start has been committed that no answer has carried yet, or an end is wanted. */
  boolean startsToSend() {
    for (Attempt a : attempts.values()) {
      if (!a.closed() && a.committed() && (a.killed() || a.seen() == Attempt.Seen.NOT_YET)) {
        return true;
      }
    }
    return false;
  }

  public Map<String, Attempt> attempts() {
    return attempts;
  }
}
