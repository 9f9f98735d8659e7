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
    return new Rig.Site(
        3, List.of("brussel"), List.of("antwerpen", "brussel"), 2.0, 14.0, 39.0, 120.0, 25.0, 8.0, 20, 5.0, 8.0, 1200,
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
        new Machines.Type("klein", 4, 32, 50, zones, 6), new Machines.Type("middel", 8, 32, 25, zones, 6));
  }
}
