package gladeknot.standin;

import gladeknot.json.Json;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** A job as its user sees it: what was submitted, and what controllers have answered. */
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
  private long answeredMicros;
  private OptionalLong waitingSince = OptionalLong.empty();
  private OptionalLong cancelledSince = OptionalLong.empty();

  ObservedJob(Map<String, Object> submitted) {
    id = Json.text(submitted, "id");
    team = Json.text(submitted, "owner");
    taskUse =
        ResourceUse.of(
            Json.doubleValue(submitted, "cores", 0),
            Json.doubleValue(submitted, "accelerators", 0));
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

  /** What one of its tasks uses. */
  ResourceUse taskUse() {
    return taskUse;
  }

  int tasks() {
    return tasks;
  }

  boolean isGang() {
    return gang;
  }

  /** Whether all tasks have to be in one zone. */
  boolean isColocated() {
    return colocated;
  }

  /** Whether one more task may run in a zone, by its constraints, besides so many there. */
  boolean allowsZone(String candidate, long tasksThere) {
    return (zone.isEmpty() || zone.get().equals(candidate))
        && (!spread || tasksThere < (tasks + 1) / 2);
  }

  /** A task has completed; a gang completes as one. */
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

  /** The phase that was answered last; empty before the job is known to be accepted. */
  String phase() {
    return phase;
  }

  /** The job is accepted; a phase that was answered before stays. */
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

  /** Whether the job is done or cancelled, for good. */
  boolean isFinal() {
    return phase.equals(DONE) || isCancelled();
  }

  /** A controller has answered a question about the job. */
  void questionAnswered(long now) {
    answeredMicros = now;
  }

  /** When a question was answered last; 0 for never. */
  long answeredMicros() {
    return answeredMicros;
  }

  /** A user got to know that the job is cancelled; the first time counts. */
  void cancellationConfirmed(long now) {
    if (cancelledSince.isEmpty()) {
      cancelledSince = OptionalLong.of(now);
    }
  }

  /** Whether the cancellation was confirmed longer ago than given. */
  boolean cancelledLongerThan(long micros, long now) {
    return cancelledSince.isPresent() && now - cancelledSince.getAsLong() > micros;
  }

  /** The job could start a task from now on, or already could before. */
  void couldStart(long now) {
    if (waitingSince.isEmpty()) {
      waitingSince = OptionalLong.of(now);
    }
  }

  void couldNotStart() {
    waitingSince = OptionalLong.empty();
  }

  /** Whether the job could have started a task for longer than given. */
  boolean waitedLongerThan(long micros, long now) {
    return waitingSince.isPresent() && now - waitingSince.getAsLong() > micros;
  }
}
