package gladeknot.standin;

import gladeknot.json.Json;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A job as its user sees it: the submission, the answers of controllers, and the tasks that have
 * completed.
 */
final class ObservedJob {
  private static final String DONE = "done";
  private static final String CANCELLED = "withdrawn";

  private final String id;
  private final String team;
  private final ResourceUse taskUse;
  private final int tasks;
  private final boolean gang;
  private final boolean spread;
  private final boolean colocated;
  private final Optional<String> zone;
  private final Set<Integer> doneTasks = new HashSet<>();
  private String phase = "";
  private long lastPollAnswerMicros;
  private OptionalLong waitingSinceMicros = OptionalLong.empty();
  private OptionalLong cancelledSinceMicros = OptionalLong.empty();

  ObservedJob(Map<String, Object> submitted) {
    id = Json.text(submitted, "id");
    team = Json.text(submitted, "owner");
    taskUse = ResourceUse.ofTask(submitted);
    tasks = (int) Json.longValue(submitted, "strands", 0);
    gang = "ensemble".equals(submitted.get("shape"));
    spread = Json.flag(submitted, "scatter");
    colocated = Json.flag(submitted, "together");
    zone = Optional.ofNullable(Json.text(submitted, "glade"));
  }

  String id() {
    return id;
  }

  String team() {
    return team;
  }

  /** Returns the resources that one task uses. */
  ResourceUse taskUse() {
    return taskUse;
  }

  int tasks() {
    return tasks;
  }

  boolean isGang() {
    return gang;
  }

  /** Returns whether all tasks must be in one zone. */
  boolean isColocated() {
    return colocated;
  }

  /**
   * Returns whether the job's constraints allow one more task in a zone that already holds the
   * given number of its tasks.
   */
  boolean allowsZone(String candidate, long tasksThere) {
    return (zone.isEmpty() || zone.get().equals(candidate))
        && (!spread || tasksThere < (tasks + 1) / 2);
  }

  /** Records that a task has completed. In a gang all tasks complete together. */
  void taskDone(int index) {
    doneTasks.add(index);
    for (int i = 0; gang && i < tasks; i++) {
      doneTasks.add(i);
    }
  }

  int doneTasks() {
    return doneTasks.size();
  }

  boolean allTasksDone() {
    return doneTasks.size() >= tasks;
  }

  /** Returns the phase that was answered last; empty before the job is known to be accepted. */
  String phase() {
    return phase;
  }

  /** Records that the job is accepted; a phase that was answered before stays. */
  void accepted() {
    if (!isAccepted()) {
      phase = "queued";
    }
  }

  void phaseAnswered(String answered) {
    phase = answered;
  }

  boolean isAccepted() {
    return !phase.isEmpty();
  }

  boolean isCancelled() {
    return phase.equals(CANCELLED);
  }

  /** Returns whether the job is done or cancelled. */
  boolean isFinal() {
    return phase.equals(DONE) || isCancelled();
  }

  /** Records that a controller answered a poll of the job. */
  void pollAnswered(long nowMicros) {
    lastPollAnswerMicros = nowMicros;
  }

  /** Returns when a poll was answered last, in microseconds; 0 if none was. */
  long lastPollAnswerMicros() {
    return lastPollAnswerMicros;
  }

  /** Records that a controller answered that the job is cancelled; only the first answer counts. */
  void cancellationConfirmed(long nowMicros) {
    if (cancelledSinceMicros.isEmpty()) {
      cancelledSinceMicros = OptionalLong.of(nowMicros);
    }
  }

  /** Returns whether the cancellation was confirmed more than {@code micros} ago. */
  boolean cancelledLongerThan(long micros, long nowMicros) {
    return cancelledSinceMicros.isPresent()
        && nowMicros - cancelledSinceMicros.getAsLong() > micros;
  }

  /**
   * Records that the job could start a task; the time of the first such call is kept until {@link
   * #couldNotStart}.
   */
  void couldStart(long nowMicros) {
    if (waitingSinceMicros.isEmpty()) {
      waitingSinceMicros = OptionalLong.of(nowMicros);
    }
  }

  void couldNotStart() {
    waitingSinceMicros = OptionalLong.empty();
  }

  /** Returns whether the job could have started a task for more than {@code micros}. */
  boolean waitedLongerThan(long micros, long nowMicros) {
    return waitingSinceMicros.isPresent() && nowMicros - waitingSinceMicros.getAsLong() > micros;
  }
}
