package gladeknot.jobs;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A job as submitted by its user. CPUs, GPUs and memory are per task, in billionths of a core, an
 * accelerator and a gigabyte. Durations are in microseconds.
 *
 * @param id the id chosen by the user; a repeated submission with the same id is the same job
 * @param jobClass the class that objectives and run time estimates refer to
 * @param team the team whose quota the tasks use
 * @param shape the way in which the tasks are scheduled
 * @param priority the priority among all jobs
 * @param tasks number of tasks
 * @param cpus CPUs of each task
 * @param gpus GPUs of each task
 * @param memory memory of each task
 * @param image the image that the tasks run
 * @param imageGb the size of the image in gigabytes
 * @param machineTypes the machine types that are allowed; null if all are
 * @param zone the only zone that is allowed; null if all are
 * @param colocated whether all tasks have to be in one zone
 * @param spread whether no zone may have more than half of the tasks
 * @param spotAllowed whether spot instances may be used
 * @param estimatedRunMicros the user's estimate of a task's run time
 * @param checkpointIntervalMicros the time between two checkpoints of a task; 0 if it has none
 * @param checkpointMicros the time that a checkpoint takes when a task is stopped
 * @param deadlineMicros time from the submission within which the job should be completed; 0 if the
 *     user set no deadline
 * @param dependencies the jobs that have to be completed before a task of this job starts, without
 *     duplicates; empty if there are none
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

  /** The way in which a job's tasks are scheduled. */
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

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID = Pattern.compile("req-[A-Za-z0-9_.-]{1,60}");

  /** Returns whether a text has the form of a job id. */
  public static boolean isId(String id) {
    return ID.matcher(id).matches();
  }

  /** Returns whether all tasks are kept in one slice. */
  public boolean unsplit() {
    return shape != Shape.ARRAY;
  }

  /** Returns the maximum number of the job's tasks in one zone. */
  public int maxPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /**
   * Returns whether another task of the job may be placed in a zone.
   *
   * @param inZone the zone in question
   * @param counts number of the job's tasks already in each zone; zones without tasks are absent
   */
  public boolean allowsZone(String inZone, Map<String, Integer> counts) {
    return (!spread || counts.getOrDefault(inZone, 0) < maxPerZone())
        && (!colocated || counts.isEmpty() || counts.containsKey(inZone));
  }

  /** Returns whether the job's tasks may be on a machine of a type, in a zone, spot or not. */
  public boolean allowsMachine(String type, String inZone, boolean isSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotAllowed || !isSpot);
  }
}
