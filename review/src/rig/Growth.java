package rig;

import gladeknot.json.Json;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A deployment of three controllers grows to five while an array runs: the three are ended, and the
 * five are started with the settings of the grown deployment.
 */
public final class Growth {
  private static final double LEFT_WAITING_S = 90;
  private static final double MACHINE_CORES = 4;
  private static final int BEFORE = 3;
  private static final int AFTER = 5;

  private Growth() {}

  public static void main(String[] args) throws Exception {
    Rig.limitSeconds(119);
    int code = 2;
    List<Machines.Type> types =
        List.of(new Machines.Type("klein", MACHINE_CORES, 0, 32, 50, List.of("brussel", "antwerpen"), 1));
    try (Rig rig = new Rig(Sites.fcfbOf(AFTER), types, Path.of(args[0]))) {
      code = play(rig);
      rig.record("exit code " + code);
    }
    System.exit(code);
  }

  private static int play(Rig rig) throws Exception {
    rig.machines.runSeconds = task -> task.startsWith("req-000001/") ? 1e6 : 5.0;
    start(rig, BEFORE);
    if (!healthy(rig, BEFORE)) {
      return 2;
    }
    Map<String, Object> portal = Rig.job("req-000001", "depot", "leden", "service", "prod", 2);
    portal.putAll(Json.of("cores", 2.0, "memoryGb", 7.2, "scatter", true, "loaners", false, "guessS", 0.0));
    if (rig.submit(0, portal).status() != 201 || !rig.await(15, () -> rig.history.running() == 2)) {
      return 2;
    }
    Map<String, Object> checks = Rig.job("req-000002", "regels", "fiscaal", "array", "normal", 12);
    checks.putAll(Json.of("cores", 1.0, "memoryGb", 3.6, "guessS", 5.0, "dueS", 60.0));
    if (rig.submit(1, checks).status() != 201 || !rig.await(10, () -> rig.history.running("req-000002") >= 3)) {
      return 2;
    }
    for (int node = 0; node < BEFORE; node++) {
      rig.kill(node);
    }
    Rig.pause(3000);
    int now = Rig.hasTrouble() ? AFTER : BEFORE;
    start(rig, now);
    if (!healthy(rig, now)) {
      return 2;
    }
    return await(rig);
  }

  private static void start(Rig rig, int count) throws Exception {
    rig.members = count;
    for (int node = 0; node < count; node++) {
      rig.writeSettings(node, count);
      rig.startNode(node);
    }
  }

  private static boolean healthy(Rig rig, int count) {
    return rig.await(20, () -> {
      for (int node = 0; node < count; node++) {
        if (!rig.healthy(node)) {
          return false;
        }
      }
      return true;
    });
  }

  /** Watches the array wait; time counts while none of its tasks runs and a machine has room for one. */
  private static int await(Rig rig) {
    double since = rig.seconds();
    while (rig.seconds() - since < LEFT_WAITING_S + 1) {
      Rig.pause(1500);
      String phase = Rig.phase(rig.poll(0, "req-000002"));
      long running = rig.history.running("req-000002");
      boolean room = false;
      StringBuilder machines = new StringBuilder();
      for (Machines.Worker worker : rig.machines.workers()) {
        double used = worker.running().stream().mapToDouble(task -> task.startsWith("req-000001/") ? 2 : 1).sum();
        room |= worker.isUp() && worker.leased() && MACHINE_CORES - used >= 1;
        machines.append(' ').append(worker.host).append('=').append(worker.running());
      }
      rig.record("phase=" + phase + " tasks running=" + running + " done=" + rig.history.doneTasks("req-000002")
          + " of 12 room=" + room + machines);
      if ("done".equals(phase)) {
        rig.record("held: done");
        return 0;
      }
      if (!room || running > 0) {
        since = rig.seconds();
      }
      if (rig.seconds() > 118) {
        return 2;
      }
    }
    rig.record("left waiting: req-000002 waits for 90 s, machines have room, its team runs nothing");
    return 1;
  }
}
