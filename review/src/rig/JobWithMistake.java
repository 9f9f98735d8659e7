package rig;

import gladeknot.json.Json;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A job with a mistake fails on every machine until its user cancels it, twelve seconds later. Then
 * the checks of another team, which have no mistake, are submitted.
 */
public final class JobWithMistake {
  /** "no job is left waiting for 90 s while a machine that fits has room". */
  private static final double LEFT_WAITING_S = 90;

  private static final int CANCELLED_AFTER_MILLIS = 12_000;
  private static final double MACHINE_CORES = 4;
  private static final double TASK_CORES = 1;

  private JobWithMistake() {}

  public static void main(String[] args) throws Exception {
    Rig.limitSeconds(119);
    int code = 2;
    // Two machines are all that the cloud has for this deployment now.
    List<Machines.Type> types =
        List.of(new Machines.Type("klein", MACHINE_CORES, 0, 32, 50, List.of("brussel", "antwerpen"), 1));
    try (Rig rig = new Rig(Sites.fcfb(), types, Path.of(args[0]))) {
      code = play(rig);
      rig.record("exit code " + code);
    }
    System.exit(code);
  }

  private static int play(Rig rig) throws Exception {
    rig.machines.broken = task -> task.startsWith("req-000002/");
    rig.machines.runSeconds = task -> task.startsWith("req-000001/") ? 1e6 : task.startsWith("req-000002/") ? 0.3 : 2.0;
    rig.startAll();
    if (!rig.awaitHealthy(20)) {
      return 2;
    }
    Map<String, Object> portal = Rig.job("req-000001", "depot", "leden", "service", "prod", 2);
    portal.putAll(Json.of("cores", 2.0, "memoryGb", 7.2, "scatter", true, "loaners", false, "guessS", 0.0));
    if (rig.submit(0, portal).status() != 201 || !rig.await(15, () -> replicasOnEachMachine(rig))) {
      rig.record("the portal does not run on both machines");
      return 2;
    }
    Rig.pause(1500);
    if (Rig.hasTrouble()) {
      Map<String, Object> mistake = Rig.job("req-000002", "restwerk", "datalab", "array", "idle", 120);
      mistake.putAll(Json.of("cores", 0.25, "memoryGb", 0.9));
      if (rig.submit(1, mistake).status() != 201) {
        return 2;
      }
      Rig.pause(CANCELLED_AFTER_MILLIS);
      if (!"withdrawn".equals(Rig.phase(rig.cancel(2, "req-000002")))) {
        return 2;
      }
    }
    Map<String, Object> checks = Rig.job("req-000003", "regels", "fiscaal", "array", "normal", 4);
    checks.putAll(Json.of("cores", TASK_CORES, "memoryGb", 3.6, "guessS", 2.0, "dueS", 60.0));
    if (rig.submit(0, checks).status() != 201) {
      return 2;
    }
    return await(rig);
  }

  private static boolean replicasOnEachMachine(Rig rig) {
    List<Machines.Worker> workers = rig.machines.workers();
    return workers.size() == 2 && workers.stream().allMatch(worker -> worker.running().size() == 1);
  }

  /** Watches the checks wait, and that both machines have room for them all the time. */
  private static int await(Rig rig) {
    double since = rig.seconds();
    while (rig.seconds() - since < LEFT_WAITING_S + 1) {
      Rig.pause(2500);
      String phase = Rig.phase(rig.poll(0, "req-000003"));
      int started = rig.history.doneTasks("req-000003") + (int) rig.history.running("req-000003");
      StringBuilder machines = new StringBuilder();
      boolean room = false;
      for (Machines.Worker worker : rig.machines.workers()) {
        double used = worker.running().stream().mapToDouble(task -> task.startsWith("req-000001/") ? 2 : TASK_CORES).sum();
        room |= worker.isUp() && worker.leased() && MACHINE_CORES - used >= TASK_CORES;
        machines.append(' ').append(worker.host).append('=').append(worker.running()).append(" of 4 cores used ").append(used);
      }
      rig.record("phase=" + phase + " tasks started=" + started + " room=" + room + machines);
      if ("done".equals(phase)) {
        rig.record("held: done after " + (rig.seconds() - since) + " s");
        return 0;
      }
      if (!room || started > 0) {
        since = rig.seconds();
      }
      if (rig.seconds() > 118) {
        return 2;
      }
    }
    rig.record("left waiting: req-000003 waits for 90 s, both machines have room, its team runs nothing");
    return 1;
  }
}
