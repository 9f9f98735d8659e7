package review2;

import java.util.Map;

/** A team whose tasks need a little more than whole thousandths of a CPU, at its limit. */
final class Quota {
  private static final long WAIT_MS = 70_000;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args[0]);
    site.start();
    site.awaitHealthy();
    Map<String, Object> job =
        Site.spec("req-000001", "regels", "leden", "array", "normal", 40, site.trouble ? 3.4004 : 3.4, 7.2);
    job.put("loaners", true);
    job.put("guessS", 100.0);
    job.put("dueS", 110.0);
    site.describe(job, 90_000);
    site.submitUntilAccepted(0, job);
    long accepted = Site.now();
    int most = 0;
    while (site.broken.isEmpty() && most < 40 && Site.now() - accepted < WAIT_MS) {
      Site.sleep(500);
      most = Math.max(most, site.onMachines("req-000001"));
    }
    // Time in which a start too many would still show.
    Site.sleep(3_000);
    site.note("tasks on machines at once: " + most + " of 40");
    site.finish(site.broken.isEmpty() ? most == 40 ? 0 : 2 : 1,
        site.broken.isEmpty() ? most + " tasks were on machines at once" : site.broken.get(0));
  }
}
