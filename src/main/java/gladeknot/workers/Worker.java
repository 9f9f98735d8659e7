package gladeknot.workers;

import gladeknot.http.Json;
import gladeknot.ledger.Ledger;
import gladeknot.placement.Attempt;
import java.util.LinkedHashMap;
import java.util.Map;

/** A rented machine: its key, and for those of our shards its newest report. */
public final class Worker {
  public static final String KEYS = Ledger.ROOT + "w/";

  private final String host;
  private int shard;
  private String type = "";
  private String zone = "";
  private boolean spot;
  private long rentedWallMicros;
  private boolean leaving;
  private long stamp;

  private Report report;
  private long reportMicros;
  private long answeredMicros = Long.MIN_VALUE / 2;
  private long recallAtMicros;

  /** Attempts by task name, for all shards as far as the followed copy tells. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** Images that it has, the newest last, with their sizes. */
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Failures in a row, and the job of the last. */
  public int errors;

  public String lastErrorJob = "";

  /** Nothing new before this. */
  public long restUntilMicros;

  /** Since when nothing is on it; 0 while something is. */
  public long idleSinceMicros;

  /** Whether its release is under way. */
  public boolean releasing;

  Worker(String host) {
    this.host = host;
  }

  public static String key(String host) {
    return KEYS + host;
  }

  /** What is stored for a machine. */
  public static Map<String, Object> record(
      int shard, String type, String zone, boolean spot, long rentedWallMicros, boolean leaving) {
    return Json.of(
        "s", shard, "t", type, "z", zone, "p", spot, "r", rentedWallMicros, "x", leaving);
  }

  public Map<String, Object> record(int inShard, boolean isLeaving) {
    return record(inShard, type, zone, spot, rentedWallMicros, isLeaving);
  }

  void read(Ledger.Entry entry) {
    Map<String, Object> d = entry.data();
    shard = (int) Json.num(d, "s", 0);
    type = Json.text(d, "t");
    zone = Json.text(d, "z");
    spot = Json.flag(d, "p");
    rentedWallMicros = Json.num(d, "r", 0);
    leaving = Json.flag(d, "x");
    stamp = entry.stamp();
  }

  void report(Report newest, long nowMicros) {
    report = newest;
    reportMicros = nowMicros;
    recallAtMicros = newest.recallS() < 0 ? 0 : nowMicros + (long) (newest.recallS() * 1e6);
  }

  void answered(long nowMicros) {
    answeredMicros = nowMicros;
  }

  /** Notes an image that it has, forgetting those used longest ago when they don't fit. */
  public void hasImage(String image, double gb, double cacheGb) {
    images.put(image, gb);
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
    answeredMicros = Long.MIN_VALUE / 2;
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

  public long stamp() {
    return stamp;
  }

  public Report report() {
    return report;
  }

  public long reportMicros() {
    return reportMicros;
  }

  public long answeredMicros() {
    return answeredMicros;
  }

  /** When the cloud takes it away; 0 if it stays. */
  public long recallAtMicros() {
    return recallAtMicros;
  }

  /** Whether something decided for it waits to be committed. */
  boolean commitsPending() {
    return attempts.values().stream().anyMatch(a -> a.closed() || !a.committed());
  }

  public Map<String, Attempt> attempts() {
    return attempts;
  }
}
