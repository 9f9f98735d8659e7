package rig;

import java.util.List;

/** Deployments of the operators' pages. */
public final class Sites {
  private Sites() {}

  private static String team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    return "[[cluster.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
        + "\ngpus = " + gpus + "\ngpus_max = " + gpusMax + "\n";
  }

  /** "FCFB shared return processing cluster" of BRIEF-gladeknot.md, sites/fcfb-dossiers.toml. */
  public static Rig.Site fcfb() {
    return fcfbOf(3);
  }

  /** The same with another number of controllers; kit/next/LATER.md has 5, all else as before. */
  public static Rig.Site fcfbOf(int nodes) {
    return new Rig.Site(
        nodes, List.of("brussel"), List.of("antwerpen", "brussel"), 2.0, 14.0, 39.0, 120.0, 25.0, 8.0, 20, 5.0, 8.0, 1200,
        team("leden", 48, 136, 2, 6) + team("fiscaal", 56, 224, 2, 8) + team("datalab", 112, 264, 8, 16),
        """
        [[cluster.objectives]]
        kind = "wait"
        class = "depot"
        within_s = 6.0
        share = 0.93
        [[cluster.objectives]]
        kind = "deadline"
        class = "regels"
        share = 0.9
        times = 1.0
        """);
  }

  /** Its machines without GPUs; the boot times are those that the cloud lists. */
  public static List<Machines.Type> fcfbMachines() {
    List<String> zones = List.of("brussel", "antwerpen");
    return List.of(
        new Machines.Type("klein", 4, 0, 32, 50, zones, 6), new Machines.Type("middel", 8, 0, 32, 25, zones, 6));
  }

  /** "Payroll bureau cluster after the takeover" of kit/added/LATER.md, added/loonbureau-hasselt.toml. */
  public static Rig.Site loonbureau() {
    return new Rig.Site(
        5, List.of("hasselt"), List.of("hasselt"), 2.5, 14.0, 44.0, 100.0, 15.0, 4.0, 12, 8.0, 3.0, 1500,
        team("loonploeg", 0, 0, 0, 0),
        """
        [[cluster.objectives]]
        kind = "wait"
        class = "loonscan"
        within_s = 12.0
        share = 0.93
        [[cluster.objectives]]
        kind = "deadline"
        class = "herrekening"
        share = 0.92
        times = 1.0
        """);
  }

  /** Its machines, as many as a small part of it needs; the boot time is what the cloud lists. */
  public static List<Machines.Type> loonbureauMachines() {
    return List.of(new Machines.Type("looncel", 16, 2, 96, 40, List.of("hasselt"), 8));
  }
}
