package rig;

import gladeknot.json.Json;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The spot machine of a service without GPUs is taken back. Another machine, which trains a model on
 * its GPUs, has room for the service, and the cloud has more machines to rent.
 */
public final class ServiceLosesMachine {
  /** "no job is left waiting for 90 s while a machine that fits has room". */
  private static final double LEFT_WAITING_S = 90;

  private static final double TRAINING_CORES = 10;
  private static final double SERVICE_CORES = 2;

  private ServiceLosesMachine() {}

  public static void main(String[] args) throws Exception {
    Rig.limitSeconds(119);
    int code = 2;
    List<String> zones = List.of("brussel", "antwerpen");
    List<Machines.Type> types =
        List.of(new Machines.Type("klein", 4, 0, 32, 50, zones, 6), new Machines.Type("beeld", 12, 2, 48, 30, zones, 4));
    try (Rig rig = new Rig(Sites.fcfb(), types, Path.of(args[0]))) {
      code = play(rig);
      rig.record("exit code " + code);
    }
    System.exit(code);
  }

  private static int play(Rig rig) throws Exception {
    rig.machines.runSeconds = task -> task.startsWith("req-000001/") ? 1e6 : 150.0;
    rig.startAll();
    if (!rig.awaitHealthy(20)) {
      return 2;
    }
    // The settings name no aim for the start of this class.
    Map<String, Object> service = Rig.job("req-000001", "balie", "leden", "service", "prod", 1);
    service.putAll(Json.of("cores", SERVICE_CORES, "memoryGb", 7.2, "scatter", true, "guessS", 0.0));
    Map<String, Object> training = Rig.job("req-000002", "afwijk", "datalab", "ensemble", "high", 1);
    training.putAll(Json.of("cores", TRAINING_CORES, "accelerators", 2.0, "memoryGb", 38.0, "together", true));
    training.putAll(Json.of("loaners", false, "guessS", 60.0, "snapshotS", 20.0, "flushS", 4.0));
    if (rig.submit(0, service).status() != 201 || rig.submit(1, training).status() != 201) {
      return 2;
    }
    if (!rig.await(20, () -> rig.history.running() == 2)) {
      return 2;
    }
    Rig.pause(500);
    if (Rig.hasTrouble()) {
      Machines.Worker lost = rig.machines.workers().stream()
          .filter(worker -> worker.running().contains("req-000001/0")).findFirst().orElseThrow();
      rig.record("spot machine " + lost.host + " (" + lost.type.label() + ") is taken back with no notice");
      if (!lost.spot) {
        return 2;
      }
      rig.machines.take(lost);
    }
    return await(rig, rig.seconds() + rig.site.leaseS());
  }

  /** Watches the service wait; time counts after the lost machine's lease and while a machine has room for it. */
  private static int await(Rig rig, double from) {
    double since = from;
    while (rig.seconds() - since < LEFT_WAITING_S + 1) {
      Rig.pause(2000);
      String phase = Rig.phase(rig.poll(0, "req-000001"));
      boolean runs = rig.history.running("req-000001") > 0;
      boolean room = false;
      StringBuilder machines = new StringBuilder();
      for (Machines.Worker worker : rig.machines.workers()) {
        double used = worker.running().stream()
            .mapToDouble(task -> task.startsWith("req-000001/") ? SERVICE_CORES : TRAINING_CORES).sum();
        room |= worker.isUp() && worker.leased() && worker.type.cores() - used >= SERVICE_CORES;
        machines.append(' ').append(worker.host).append(' ').append(worker.type.label()).append('=').append(worker.running());
      }
      rig.record("phase=" + phase + " service runs=" + runs + " room=" + room + machines);
      if (rig.seconds() > from && (runs && "running".equals(phase))) {
        rig.record("held: the service runs");
        return 0;
      }
      if (rig.seconds() > since && (!room || runs)) {
        since = rig.seconds();
      }
      if (rig.seconds() > 118) {
        return 2;
      }
    }
    rig.record("left waiting: the service waits for 90 s, a machine has room for it, its team runs nothing");
    return 1;
  }
}
