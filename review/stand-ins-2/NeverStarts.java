package review2;

import java.math.BigInteger;
import java.util.Map;

/**
 * Accepted jobs of which no task starts. With the second argument "team" a team's name has a space, with "memory"
 * a task needs a little more than the cheapest machines have, with "tick" the workers count from 2^63.
 */
final class NeverStarts {
  private static final long WAIT_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args[0]);
    String kind = args[1];
    String team = "datalab";
    double memory = 7.2;
    if (site.trouble && kind.equals("team")) {
      double[] limits = site.teams.remove(team);
      team = "data lab";
      site.teams.put(team, limits);
    }
    if (kind.equals("memory")) {
      // 30,518 MiB; the machines of 32 GB are too small, zwaar and beeld are not.
      memory = site.trouble ? 30_518 * 1.048576 / 1000 : 33.0;
    }
    if (site.trouble && kind.equals("tick")) {
      site.firstTick = BigInteger.TWO.pow(63);
    }
    site.start();
    site.awaitHealthy();
    Map<String, Object> job = Site.spec("req-000001", "regels", team, "array", "normal", 4, 2.0, memory);
    Map<String, Object> other = Site.spec("req-000002", "regels", "fiscaal", "array", "normal", 4, 2.0, 7.2);
    site.describe(job, 5_000);
    site.describe(other, 5_000);
    site.submitUntilAccepted(0, job);
    long accepted = Site.now();
    site.submitUntilAccepted(1, other);
    boolean otherStarted = false;
    int at = 0;
    while (Site.now() - accepted < WAIT_MS && !site.hasStarted("req-000001")) {
      Site.sleep(5_000);
      site.poll(at++ % 3, "req-000001");
      site.poll(at % 3, "req-000002");
    }
    otherStarted = site.hasStarted("req-000002");
    site.note("the fiscaal job (2 CPUs, 7.2 GB) has started: " + otherStarted);
    boolean started = site.hasStarted("req-000001");
    site.finish(started ? 0 : 1, started
        ? "a task of req-000001 has started"
        : "req-000001 was accepted, and none of its tasks has started within " + WAIT_MS / 1000 + " s");
  }
}
