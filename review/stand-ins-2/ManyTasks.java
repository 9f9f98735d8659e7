package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Four jobs of many small tasks, within the limits of the pages, on the machine on which replicas of a service run. The
 * reports of the machine's worker would then exceed 64 KiB.
 */
final class ManyTasks {
  private static final int JOBS = 4;
  private static final long WAIT_MS = 100_000;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args[0]);
    site.start();
    site.awaitHealthy();
    Map<String, Object> depot = Site.spec("req-000001", "depot", "leden", "service", "prod", 2, 2.0, 7.2);
    depot.put("hosttypes", List.of("zwaar"));
    depot.put("guessS", 0.0);
    site.describe(depot, -1);
    // 56 CPUs in all, the team's guarantee; the machine has 64.
    int strands = site.trouble ? 350 : 7;
    List<Map<String, Object>> regels = new ArrayList<>();
    for (int k = 0; k < JOBS; k++) {
      Map<String, Object> job =
          Site.spec("req-00001" + k, "regels", "fiscaal", "array", "normal", strands, 14.0 / strands, 49.0 / strands);
      job.put("hosttypes", List.of("zwaar"));
      site.describe(job, 40_000);
      regels.add(job);
    }
    site.submitUntilAccepted(0, depot);
    for (int k = 0; k < 20 && !site.hasStarted("req-000001"); k++) {
      Site.sleep(500);
    }
    if (!site.hasStarted("req-000001")) {
      site.finish(2, "the service does not start");
    }
    for (Map<String, Object> job : regels) {
      site.submitUntilAccepted(1, job);
    }
    long accepted = Site.now();
    int done = 0;
    while (done < JOBS && Site.now() - accepted < WAIT_MS) {
      Site.sleep(3_000);
      done = 0;
      for (Map<String, Object> job : regels) {
        done += "done".equals(site.poll(1, (String) job.get("id")).get("phase")) ? 1 : 0;
      }
    }
    for (Cloud.Machine m : site.cloud.machines()) {
      site.note(m.id() + " " + m.type().label() + ": longest answer to a report " + m.worker().longestLine
          + " bytes, reports that exceed 64 KiB " + m.worker().reportsTooLarge);
    }
    String lost = "tasks lost with a lapsed lease, by machine: " + site.leasesLapsed;
    site.finish(done == JOBS && site.leasesLapsed.isEmpty() ? 0 : 1,
        done + " of " + JOBS + " jobs, whose tasks run 40 s and all fit at once, are done " + (Site.now() - accepted) / 1000
            + " s after they were accepted; " + lost);
  }
}
