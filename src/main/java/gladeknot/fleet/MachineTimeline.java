package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The free resources of a machine over time, as running tasks end and planned tasks start. */
final class MachineTimeline {
  /**
   * Resources, in billionths, that become free at a time or, if negative, are taken from that time
   * on.
   */
  private record ResourceChange(long atMicros, long cpus, long gpus, long memory) {}

  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final int shard;
  private final long fromMicros;

  /**
   * The machine's own collection of cached images. It needs no copying, since a forecast is over
   * before the collection changes.
   */
  private final Collection<String> cachedImages;

  /** Ordered by time. */
  private final List<ResourceChange> changes = new ArrayList<>();

  private int version;

  /** Creates a machine that is up and empty from {@code fromMicros} on, by the steady clock. */
  MachineTimeline(
      MachineType type,
      String zone,
      boolean spot,
      int shard,
      long fromMicros,
      Collection<String> cachedImages) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.shard = shard;
    this.fromMicros = fromMicros;
    this.cachedImages = cachedImages;
    addChange(fromMicros, type.cpus(), type.gpus(), type.memory());
  }

  /**
   * Returns the timeline of an instance that is requested now, or was requested and isn't up yet.
   */
  static MachineTimeline ofRequested(InstanceOffering offering, int shard, long nowMicros) {
    MachineType type = offering.type();
    long fromMicros = nowMicros + type.bootMicros();
    return new MachineTimeline(
        type, offering.zone(), offering.spot(), shard, fromMicros, List.of());
  }

  MachineType type() {
    return type;
  }

  String zone() {
    return zone;
  }

  int shard() {
    return shard;
  }

  /** Returns the time from which the machine is up, by the steady clock. */
  long fromMicros() {
    return fromMicros;
  }

  boolean hasImage(String image) {
    return cachedImages.contains(image);
  }

  /**
   * Returns the version of the timeline. Each change increments it, so that a machine is evaluated
   * again only after a change.
   */
  int version() {
    return version;
  }

  private void addChange(long atMicros, long cpus, long gpus, long memory) {
    version++;
    int i = changes.size();
    while (i > 0 && changes.get(i - 1).atMicros() > atMicros) {
      i--;
    }
    changes.add(i, new ResourceChange(atMicros, cpus, gpus, memory));
  }

  /**
   * Takes resources from {@code fromMicros} to {@code toMicros}, or for good if {@code toMicros} is
   * {@link Forecast#NEVER_MICROS}.
   */
  void reserve(long fromMicros, long toMicros, long cpus, long gpus, long memory) {
    addChange(fromMicros, -cpus, -gpus, -memory);
    if (toMicros < Forecast.NEVER_MICROS) {
      addChange(toMicros, cpus, gpus, memory);
    }
  }

  /**
   * Returns the earliest time at which a task could start, by the steady clock; {@link
   * Forecast#NEVER_MICROS} if it can't start on this machine.
   */
  long earliestStartMicros(JobSpec spec) {
    if (!spec.allowsMachine(type.name(), zone, spot) || !type.mayRun(spec)) {
      return Forecast.NEVER_MICROS;
    }
    long cpus = 0;
    long gpus = 0;
    long memory = 0;
    for (int i = 0; i < changes.size(); i++) {
      ResourceChange change = changes.get(i);
      cpus += change.cpus();
      gpus += change.gpus();
      memory += change.memory();
      boolean lastAtItsTime =
          i + 1 == changes.size() || changes.get(i + 1).atMicros() > change.atMicros();
      if (lastAtItsTime && cpus >= spec.cpus() && gpus >= spec.gpus() && memory >= spec.memory()) {
        return change.atMicros();
      }
    }
    return Forecast.NEVER_MICROS;
  }

  /** Returns how many of a job's tasks fit in the resources that are free at a time. */
  long fittingTasks(JobSpec spec, long atMicros) {
    if (!spec.allowsMachine(type.name(), zone, spot) || !type.mayRun(spec)) {
      return 0;
    }
    long cpus = 0;
    long gpus = 0;
    long memory = 0;
    for (ResourceChange change : changes) {
      if (change.atMicros() <= atMicros) {
        cpus += change.cpus();
        gpus += change.gpus();
        memory += change.memory();
      }
    }
    long fitting = Math.min(cpus / spec.cpus(), memory / spec.memory());
    return Math.max(0, spec.gpus() > 0 ? Math.min(fitting, gpus / spec.gpus()) : fitting);
  }

  /**
   * Returns how long the machine takes to fetch a job's image, in microseconds; 0 if the image is
   * cached.
   */
  long fetchMicros(JobSpec spec) {
    return hasImage(spec.image()) ? 0 : InstanceCatalog.fetchMicros(spec, type);
  }
}
