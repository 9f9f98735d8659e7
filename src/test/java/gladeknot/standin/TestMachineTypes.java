package gladeknot.standin;

import gladeknot.json.ResourceUnits;
import gladeknot.workers.MachineType;
import java.util.List;

/** Machine types of tests. */
public final class TestMachineTypes {
  private TestMachineTypes() {}

  /** Returns a type whose CPUs, GPUs and memory are given in thousandths. */
  public static MachineType inThousandths(
      String name,
      long cpus,
      long gpus,
      long memory,
      double cacheGb,
      double fetchGbPerSecond,
      double price,
      double spotPrice,
      long bootMicros,
      List<String> zones) {
    return new MachineType(
        name,
        ResourceUnits.ofThousandths(cpus),
        ResourceUnits.ofThousandths(gpus),
        ResourceUnits.ofThousandths(memory),
        cacheGb,
        fetchGbPerSecond,
        price,
        spotPrice,
        bootMicros,
        zones);
  }
}
