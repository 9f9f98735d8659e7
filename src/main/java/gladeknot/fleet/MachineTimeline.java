package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** What a machine has free over time, as running tasks end and planned ones start. */
final class MachineTimeline {
  /** What becomes free at a time, or is taken from then on if negative; in thousandths. */
  private record ResourceChange(long atMicros, long cpus, long gpus, long memory) {}

  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final int shard;
  private final long fromMicros;

  /** As the machine has them: a forecast is over before they change. */
  private final Collection<String> cachedImages;

  /** By time. */
  private final List<ResourceChange> changes = new ArrayList<>();

  private int version;

  /** A machine that is empty from a time on, by the steady clock. */
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
    change(fromMicros, type.cpus(), type.gpus(), type.memory());
  }

  /** An instance that is requested now, or was and isn't up yet. */
  static MachineTimeline ofRequested(InstanceOffering offering, int shard, long nowMicros) {
    MachineType type = offering.type();
    long fromMicros = nowMicros + type.readyMicros();
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

  /** From when on the machine is up. */
  long fromMicros() {
    return fromMicros;
  }

  boolean hasImage(String image) {
    return cachedImages.contains(image);
  }

  /** Grows with each change, so that a machine is evaluated again only after one. */
  int version() {
    return version;
  }

  private void change(long atMicros, long cpus, long gpus, long memory) {
    version++;
    int i = changes.size();
    while (i > 0 && changes.get(i - 1).atMicros() > atMicros) {
      i--;
    }
    changes.add(i, new ResourceChange(atMicros, cpus, gpus, memory));
  }

  /** Takes resources from a time to another, or for good if that is {@link Forecast#NEVER}. */
  void reserve(long fromMicros, long toMicros, long cpus, long gpus, long memory) {
    change(fromMicros, -cpus, -gpus, -memory);
    if (toMicros < Forecast.NEVER) {
      change(toMicros, cpus, gpus, memory);
    }
  }

  /** When a task could start; {@link Forecast#NEVER} if it can't. */
  long earliestStartMicros(JobSpec spec) {
    if (!spec.allowsMachine(type.name(), zone, spot) || type.fits(spec) == 0) {
      return Forecast.NEVER;
    }
    long cpus = 0;
    long gpus = 0;
    long memory = 0;
    for (int i = 0; i < changes.size(); i++) {
      ResourceChange change = changes.get(i);
      cpus += change.cpus();
      gpus += change.gpus();
      memory += change.memory();
      boolean lastOfItsTime =
          i + 1 == changes.size() || changes.get(i + 1).atMicros() > change.atMicros();
      if (lastOfItsTime && cpus >= spec.cpus() && gpus >= spec.gpus() && memory >= spec.memory()) {
        return change.atMicros();
      }
    }
    return Forecast.NEVER;
  }

  /** How many of a job's tasks fit at a time. */
  long fittingTasks(JobSpec spec, long atMicros) {
    if (!spec.allowsMachine(type.name(), zone, spot)) {
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

  /** How long the machine takes to fetch a job's image; 0 if it has it. */
  long fetchMicros(JobSpec spec) {
    return hasImage(spec.image()) ? 0 : InstanceCatalog.fetchMicros(spec, type);
  }
}
