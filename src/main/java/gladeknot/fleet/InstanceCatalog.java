package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machine types that the cloud lists, and its offerings of them. Empty until they are known.
 */
public final class InstanceCatalog {
  private static final double MICROS_PER_S = 1e6;

  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, InstanceOffering> offerings = new LinkedHashMap<>();

  /** Takes over the types as the cloud lists them now; offerings keep their back-off. */
  void update(List<MachineType> listed) {
    types.clear();
    Map<String, InstanceOffering> previous = new LinkedHashMap<>(offerings);
    offerings.clear();
    for (MachineType type : listed) {
      types.put(type.name(), type);
      for (String zone : type.zones()) {
        add(new InstanceOffering(type, zone, true), previous);
        add(new InstanceOffering(type, zone, false), previous);
      }
    }
  }

  private void add(InstanceOffering listed, Map<String, InstanceOffering> previous) {
    InstanceOffering offering = previous.getOrDefault(listed.toString(), listed);
    offering.updateType(listed.type());
    offerings.put(offering.toString(), offering);
  }

  /** Whether the cloud has listed its types yet. */
  public boolean isKnown() {
    return !types.isEmpty();
  }

  /** A type by name; null if the cloud doesn't list it. Asked in hot loops. */
  public MachineType type(String name) {
    return types.get(name);
  }

  /** The size of a type's image cache in GB; 0 if the cloud doesn't list the type. */
  public double cacheGb(String typeName) {
    MachineType type = types.get(typeName);
    return type == null ? 0 : type.cacheGb();
  }

  Collection<MachineType> types() {
    return types.values();
  }

  Collection<InstanceOffering> offerings() {
    return offerings.values();
  }

  /** Zones in which some type is offered, in the order of the cloud's list. */
  public List<String> zones() {
    Set<String> zones = new LinkedHashSet<>();
    for (MachineType type : types.values()) {
      zones.addAll(type.zones());
    }
    return new ArrayList<>(zones);
  }

  /** Whether any offering is worth a call. */
  boolean anyAvailable(long nowMicros) {
    for (InstanceOffering offering : offerings.values()) {
      if (offering.isAvailable(nowMicros)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a task of a job fits a machine of any type and zone that the job allows. */
  public boolean fitsSomeType(JobSpec spec) {
    for (MachineType type : types.values()) {
      if (isUsable(spec, type) && (spec.zone() == null || type.zones().contains(spec.zone()))) {
        return true;
      }
    }
    return false;
  }

  /**
   * How soon an instance requested now could run a task, in microseconds; {@link Forecast#NEVER} if
   * no type fits.
   */
  long soonestStartMicros(JobSpec spec) {
    long soonest = Forecast.NEVER;
    for (MachineType type : types.values()) {
      if (isUsable(spec, type)) {
        soonest = Math.min(soonest, startMicros(spec, type));
      }
    }
    return soonest;
  }

  /** How long an instance requested now takes to boot and to fetch a task's image. */
  static long startMicros(JobSpec spec, MachineType type) {
    return type.readyMicros() + fetchMicros(spec, type);
  }

  /** How long a machine of a type takes to fetch a job's image. */
  static long fetchMicros(JobSpec spec, MachineType type) {
    return (long) (spec.imageGb() / type.fetchGbPerS() * MICROS_PER_S);
  }

  /** Whether a job allows a type, and an empty machine of it takes a task. */
  static boolean isUsable(JobSpec spec, MachineType type) {
    return type.fits(spec) > 0
        && (spec.machineTypes() == null || spec.machineTypes().contains(type.name()));
  }
}
