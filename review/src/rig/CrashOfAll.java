package rig;

import gladeknot.json.Json;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * All controllers crash once and are started again 6 s later, in a deployment that has finished 36,000
 * jobs so far. Users go on asking about their jobs.
 */
public final class CrashOfAll {
  /** 22 hours of the 9.3 + 18 jobs a minute that the page names for this deployment. */
  private static final int FINISHED_JOBS = 36_000;

  /** "back about 6 s after an end". */
  private static final int RESTART_MILLIS = 6000;

  private static final double FORGOTTEN_S = 75;

  private CrashOfAll() {}

  public static void main(String[] args) throws Exception {
    Rig.limitSeconds(118);
    int code = 2;
    try (Rig rig = new Rig(Sites.loonbureau(), Sites.loonbureauMachines(), Path.of(args[0]))) {
      code = play(rig);
      rig.record("exit code " + code);
    }
    System.exit(code);
  }

  private static int play(Rig rig) throws Exception {
    boolean trouble = Rig.hasTrouble();
    for (int i = 0; i < FINISHED_JOBS; i++) {
      // The record that a controller writes when a job is done: docs/design.md, "State".
      rig.state.preset("g/job/req-" + String.format("%06d", i),
          Json.of("p", "done", "n", 1 + i % 40, "e", 1_764_600_000_000_000L + i * 2_197_802L));
    }
    rig.record("the state service holds " + FINISHED_JOBS + " finished jobs");
    for (int i = 0; i < rig.site.nodes(); i++) {
      int node = i;
      rig.startNode(node);
      if (!rig.await(20, () -> rig.healthy(node))) {
        rig.record("knotbox-" + node + " does not get healthy before the disruption");
        return 2;
      }
      rig.record("knotbox-" + node + " is healthy; requests refused with 429 so far: " + rig.state.throttled);
      Rig.pause(1000);
    }
    Map<String, Object> portal = Rig.job("req-900001", "loonscan", "loonploeg", "service", "prod", 2);
    portal.putAll(Json.of("cores", 5.0, "accelerators", 1.0, "memoryGb", 29.0, "loaners", false, "guessS", 0.0));
    Map<String, Object> checks = Rig.job("req-900002", "herrekening", "loonploeg", "array", "normal", 6);
    checks.putAll(Json.of("cores", 6.0, "accelerators", 1.0, "memoryGb", 36.0, "guessS", 35.0, "dueS", 120.0));
    rig.machines.runSeconds = task -> task.startsWith("req-900001") ? 1e6 : 35.0;
    if (rig.submit(0, portal).status() != 201 || rig.submit(1, checks).status() != 201) {
      return 2;
    }
    if (!rig.await(12, () -> rig.history.running() >= 4)) {
      rig.record("tasks do not start before the disruption");
      return 2;
    }
    Map<String, Double> answered = new LinkedHashMap<>();
    for (String job : new String[] {"req-900001", "req-900002", "req-000007"}) {
      for (int node = 0; node < rig.site.nodes(); node++) {
        if (rig.poll(node, job).status() != 200) {
          return 2;
        }
      }
      answered.put(job, rig.seconds());
    }
    if (trouble) {
      for (int node = 0; node < rig.site.nodes(); node++) {
        rig.kill(node);
      }
      Rig.pause(RESTART_MILLIS);
      rig.startAll();
    }
    double over = rig.seconds();
    rig.record((trouble ? "all controllers run again" : "no disruption") + "; tasks on machines: " + rig.history.running());
    return ask(rig, answered, over);
  }

  /** Asks every node about each job until one has answered, or 75 s have passed since the trouble was over. */
  private static int ask(Rig rig, Map<String, Double> answered, double over) {
    answered.replaceAll((job, at) -> 0.0);
    while (rig.seconds() - over < FORGOTTEN_S + 1) {
      Rig.pause(2500);
      for (String job : answered.keySet()) {
        for (int node = 0; node < rig.site.nodes(); node++) {
          int status = rig.poll(node, job).status();
          if (status == 200) {
            answered.put(job, rig.seconds());
          } else if (status == 404) {
            rig.record("forgotten: " + job + " gets 404");
            return 1;
          }
        }
      }
      long healthy = IntStream.range(0, rig.site.nodes()).filter(rig::healthy).count();
      rig.record(String.format("healthy=%d pages listed=%d lists begun=%d refused with 429=%d tasks on machines=%d",
          healthy, rig.state.listPages, rig.state.listsBegun, rig.state.throttled, rig.history.running()));
      if (answered.values().stream().allMatch(at -> at > 0)) {
        rig.record("held: every job was answered for after " + (rig.seconds() - over) + " s");
        return 0;
      }
    }
    answered.forEach((job, at) -> {
      if (at == 0) {
        rig.record("forgotten: no question about " + job + " answered for 75 s, all controllers running");
      }
    });
    return 1;
  }
}
