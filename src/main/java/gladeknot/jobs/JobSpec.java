package gladeknot.jobs;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * What a user asks for in one job. CPUs, GPUs and memory are in thousandths of a core, an
 * accelerator and a gigabyte, for each task; durations are in microseconds.
 *
 * @param id the id that the user chose; a repeated submission with it is the same job
 * @param jobClass the class that objectives and run time estimates refer to
 * @param team the team whose quota the tasks use
 * @param shape how the tasks belong together
 * @param priority the priority among all jobs
 * @param tasks how many tasks there are
 * @param cpus CPUs of each task
 * @param gpus GPUs of each task
 * @param memory memory of each task
 * @param image the image that the tasks run
 * @param imageGb the size of the image in gigabytes
 * @param machineTypes the machine types that are allowed; null if all are
 * @param zone the only zone that is allowed; null if all are
 * @param colocated whether all tasks have to be in one zone
 * @param spread whether no zone may have more than half of the tasks
 * @param spotAllowed whether preemptible machines may be used
 * @param estimatedRunMicros the user's estimate of a task's run time
 * @param checkpointIntervalMicros the time between two checkpoints of a task; 0 if it has none
 * @param checkpointMicros the time that a checkpoint takes when a task is stopped
 * @param deadlineMicros by when the job should be done, counted from its submission; 0 if the user
 *     set no deadline
 * @param dependencies the jobs that have to be done before a task of this one starts, each once;
 *     empty if there are none
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    long cpus,
    long gpus,
    long memory,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean colocated,
    boolean spread,
    boolean spotAllowed,
    long estimatedRunMicros,
    long checkpointIntervalMicros,
    long checkpointMicros,
    long deadlineMicros,
    List<String> dependencies) {

  /** How a job's tasks belong together. */
  public enum Shape {
    /** Independent tasks. */
    ARRAY,
    /** Tasks that are scheduled together or not at all. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
  }

  /** Priorities, the highest first. */
  public enum Priority {
    PROD,
    HIGH,
    NORMAL,
    IDLE
  }

  /** The most tasks that a job may have. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID = Pattern.compile("req-[A-Za-z0-9_.-]{1,60}");

  /** Whether a text has the form of a job id. */
  public static boolean isId(String id) {
    return ID.matcher(id).matches();
  }

  /** Whether all tasks are kept in one slice. */
  public boolean unsplit() {
    return shape != Shape.ARRAY;
  }

  /** How many of its tasks may be in one zone. */
  public int maxPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /**
   * Whether another of its tasks may be placed in a zone.
   *
   * @param inZone the zone in question
   * @param counts how many of its tasks are in each zone already; zones without any are absent
   */
  public boolean allowsZone(String inZone, Map<String, Integer> counts) {
    return (!spread || counts.getOrDefault(inZone, 0) < maxPerZone())
        && (!colocated || counts.isEmpty() || counts.containsKey(inZone));
  }

  /** Whether its tasks may be on a machine of a type, in a zone, preemptible or not. */
  public boolean allowsMachine(String type, String inZone, boolean isSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotAllowed || !isSpot);
  }
}
