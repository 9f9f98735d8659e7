package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import gladeknot.workers.RefusedSizes;
import gladeknot.workers.TaskSize;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machine types that the cloud lists, and its offerings of them. Empty until the first list
 * arrives.
 */
public final class InstanceCatalog {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, InstanceOffering> offerings = new LinkedHashMap<>();

  /** Sizes of tasks that machines have refused, by type. */
  private final Map<String, RefusedSizes> refusedSizes = new HashMap<>();

  private List<MachineType> listedTypes = List.of();
  private boolean excludesSizes;

  /** Replaces the types by a new list from the cloud. Offerings keep their backoff. */
  void update(List<MachineType> listed, long nowMicros) {
    listedTypes = listed;
    excludesSizes = false;
    List<MachineType> current = listed.stream().map(type -> refusing(type, nowMicros)).toList();
    replaceTypes(current);
  }

  private MachineType refusing(MachineType listed, long nowMicros) {
    RefusedSizes refused = refusedSizes.get(listed.name());
    if (refused == null) {
      return listed;
    }
    Set<TaskSize> excluded = refused.excluded(nowMicros);
    excludesSizes |= !excluded.isEmpty();
    return listed.refusing(excluded);
  }

  /** Records that a machine of a type has refused a task that should fit. */
  public void onRefused(String typeName, TaskSize size, long nowMicros) {
    refusedSizes.computeIfAbsent(typeName, name -> RefusedSizes.ofType()).record(size, nowMicros);
    update(listedTypes, nowMicros);
  }

  /** Admits the sizes of tasks whose exclusion has ended. */
  void tick(long nowMicros) {
    if (excludesSizes) {
      update(listedTypes, nowMicros);
    }
  }

  private void replaceTypes(List<MachineType> listed) {
    types.clear();
    Map<String, InstanceOffering> previous = new LinkedHashMap<>(offerings);
    offerings.clear();
    List<MachineType> withoutGpus = listed.stream().filter(type -> type.gpus() == 0).toList();
    for (MachineType listedType : listed) {
      MachineType type = listedType.beside(withoutGpus);
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

  /** Returns whether the cloud has listed its types yet. */
  public boolean isKnown() {
    return !types.isEmpty();
  }

  /**
   * Returns a type by name. Called in hot loops, so it returns null rather than an empty optional
   * if the cloud doesn't list the type.
   */
  public MachineType type(String name) {
    return types.get(name);
  }

  /** Returns the size of a type's image cache in GB; 0 if the cloud doesn't list the type. */
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

  /** Returns the zones in which any type is offered, in the order of the cloud's list. */
  public List<String> zones() {
    Set<String> zones = new LinkedHashSet<>();
    for (MachineType type : types.values()) {
      zones.addAll(type.zones());
    }
    return new ArrayList<>(zones);
  }

  /** Returns whether any offering is available, that is, not in backoff. */
  boolean anyAvailable(long nowMicros) {
    for (InstanceOffering offering : offerings.values()) {
      if (offering.isAvailable(nowMicros)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a task of a job fits an empty machine of any type and zone that the job allows.
   */
  public boolean fitsSomeType(JobSpec spec) {
    for (MachineType type : types.values()) {
      if (type.allows(spec) && (spec.zone() == null || type.zones().contains(spec.zone()))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the shortest delay, in microseconds, after which an instance requested now could run a
   * task; {@link Forecast#NEVER_MICROS} if no type fits.
   */
  long minStartDelayMicros(JobSpec spec) {
    long minMicros = Forecast.NEVER_MICROS;
    for (MachineType type : types.values()) {
      if (type.mayRun(spec)) {
        minMicros = Math.min(minMicros, startDelayMicros(spec, type));
      }
    }
    return minMicros;
  }

  /**
   * Returns how long an instance requested now takes to boot and to fetch a task's image, in
   * microseconds.
   */
  static long startDelayMicros(JobSpec spec, MachineType type) {
    return type.bootMicros() + fetchMicros(spec, type);
  }

  /** Returns how long a machine of a type takes to fetch a job's image, in microseconds. */
  static long fetchMicros(JobSpec spec, MachineType type) {
    return (long) (spec.imageGb() / type.fetchGbPerSecond() * MICROS_PER_SECOND);
  }
}
