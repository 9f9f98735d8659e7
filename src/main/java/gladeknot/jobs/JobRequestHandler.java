package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.CommitOutcome;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.tracing.TaskTracer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the users: submissions, polls and aborts. */
public final class JobRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(JobRequestHandler.class);
  private static final int MAX_QUEUE = 300;
  private static final long MAX_WAIT_MICROS = 2_500_000;

  /** Until the next try after the state service said that it is asked too often. */
  private static final long THROTTLED_MICROS = 60_000;

  /** What a stored submission's home and time take beyond those that it was measured with. */
  private static final int STAMPS_BYTES = 64;

  /** What the desk must know of the others. */
  public interface ClusterView {
    /** Whether the machine types are known. */
    boolean typesKnown();

    /** Whether a task fits some allowed machine type. */
    boolean fitsSomeType(JobSpec spec);

    /** The shard that takes in a new job. */
    int homeShard(JobSpec spec);

    /** Done and running tasks of a job that goes on. */
    TaskCounts taskCounts(Job job);

    /** Why answers that are not final can't be given now; null if they can. */
    String refusal();

    /** Tells the other controllers of jobs whose cancellation has just been committed. */
    void announceCancelled(List<String> ids);
  }

  private record Pending(
      long request, String id, JobSpec spec, boolean cancellation, long sinceMicros) {}

  private final Settings settings;
  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final Outbox outbox;
  private final TaskTracer tracer;
  private final ClusterView cluster;
  private final ArrayDeque<Pending> queue = new ArrayDeque<>();
  private boolean inFlight;
  private long nextMicros;
  private long nowMicros;
  private long wallMicros;

  /** A handler that answers through the outbox. */
  public JobRequestHandler(
      Settings settings,
      StateStore stateStore,
      JobRegistry jobs,
      Outbox outbox,
      TaskTracer tracer,
      ClusterView around) {
    this.tracer = tracer;
    this.settings = settings;
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.outbox = outbox;
    this.cluster = around;
  }

  /** POST /work. */
  public void submit(long request, byte[] body) {
    JobSpec spec;
    try {
      spec = JobSpec.parse(Json.object(body));
    } catch (IOException e) {
      outbox.answer(request, 400, Json.of("error", "body: not a JSON object"));
      return;
    } catch (JobSpec.MalformedJobException e) {
      outbox.answer(request, 400, Json.of("error", e.getMessage()));
      return;
    }
    if (withheld(request)) {
      return;
    }
    if (known(spec.id())) {
      poll(request, spec.id());
      return;
    }
    String never = refusal(spec);
    if (never != null) {
      outbox.answer(request, 422, Json.of("error", never));
      return;
    }
    if (!cluster.typesKnown()) {
      outbox.retryLater(request, 503, "machine types are not known yet", 1);
      return;
    }
    if (!cluster.fitsSomeType(spec)) {
      outbox.answer(
          request,
          422,
          Json.of("error", "cores, accelerators, memoryGb: a task fits no allowed type"));
      return;
    }
    if (Json.bytes(Job.accepted(spec, 0, 0)).length + STAMPS_BYTES
        > stateStore.limits().maxValueBytes()) {
      String longest = spec.dependencies().isEmpty() ? "hosttypes" : "waitsOn";
      outbox.answer(request, 400, Json.of("error", longest + ": too long"));
      return;
    }
    if (spec.dependencies().contains(spec.id())) {
      outbox.answer(request, 422, Json.of("error", "waitsOn: names the job itself"));
      return;
    }
    if (spec.dependencies().stream().allMatch(jobs::isKnown)) {
      submitWithNeeds(request, spec);
      return;
    }
    // The copy may be older than the acceptance of a job that is named.
    stateStore.readBarrier(
        () -> submitWithNeeds(request, spec),
        () -> outbox.retryLater(request, 503, "the state service does not answer", 1));
  }

  /** Accepts a submission unless it names jobs that can't be waited for; the copy is new enough. */
  private void submitWithNeeds(long request, JobSpec spec) {
    if (known(spec.id())) {
      poll(request, spec.id());
      return;
    }
    for (String need : spec.dependencies()) {
      Job job = jobs.unfinished(need);
      if (!jobs.isKnown(need)) {
        outbox.answer(request, 422, Json.of("error", "waitsOn: no such job " + need));
        return;
      }
      if (job != null && job.spec().shape() == JobSpec.Shape.SERVICE) {
        outbox.answer(request, 422, Json.of("error", "waitsOn: a service never ends: " + need));
        return;
      }
    }
    enqueue(new Pending(request, spec.id(), spec, false, nowMicros));
  }

  /** Refuses a request at once while nothing new can be learnt; returns whether it did. */
  private boolean withheld(long request) {
    String why = stateStore.loaded() ? cluster.refusal() : "the state is not read yet";
    if (why == null) {
      return false;
    }
    outbox.retryLater(request, 503, why, 1);
    return true;
  }

  private String refusal(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return "owner: unknown team " + spec.team();
    }
    long count = spec.unsplit() ? spec.tasks() : 1;
    if (!team.allows(spec.cpus() * count, spec.gpus() * count)) {
      return "cores, accelerators: more than the limit of team " + spec.team();
    }
    return null;
  }

  private void enqueue(Pending pending) {
    if (queue.size() >= MAX_QUEUE) {
      outbox.retryLater(pending.request(), 429, "too many requests are waiting", 3);
      return;
    }
    queue.add(pending);
    if (!pending.cancellation()) {
      tracer.submitted(pending.id());
    }
    flush();
  }

  private boolean known(String id) {
    return jobs.isKnown(id);
  }

  /** GET /work/ID. */
  public void poll(long request, String id) {
    if (over(request, id, true)) {
      return;
    }
    if (withheld(request)) {
      return;
    }
    stateStore.readBarrier(
        () -> answerState(request, id),
        () -> outbox.retryLater(request, 503, "the state service does not answer", 1));
  }

  /** Answers if the job is over: that never changes again. */
  private boolean over(long request, String id, boolean counts) {
    Job job = jobs.finished(id);
    if (job == null) {
      return false;
    }
    Map<String, Object> answer = Json.of("id", id, "phase", job.phase().word());
    if (counts) {
      answer.put("done", job.phase() == Job.Phase.DONE ? job.tasks() : 0);
      answer.put("running", 0);
    }
    outbox.answer(request, 200, answer);
    return true;
  }

  private void answerState(long request, String id) {
    if (over(request, id, true)) {
      return;
    }
    Job job = jobs.unfinished(id);
    if (job == null) {
      outbox.answer(request, 404, Json.of("error", "no such job"));
      return;
    }
    // A held job has no slices, and so none of its tasks is counted.
    TaskCounts counts = cluster.taskCounts(job);
    String phase = counts.running() > 0 ? "running" : "queued";
    outbox.answer(
        request,
        200,
        Json.of("id", id, "phase", phase, "done", counts.done(), "running", counts.running()));
  }

  /** POST /work/ID/abort. */
  public void cancel(long request, String id) {
    if (over(request, id, false)) {
      return;
    }
    if (withheld(request)) {
      return;
    }
    if (jobs.unfinished(id) != null) {
      enqueue(new Pending(request, id, null, true, nowMicros));
      return;
    }
    stateStore.readBarrier(
        () -> {
          if (over(request, id, false)) {
            return;
          }
          if (jobs.unfinished(id) != null) {
            enqueue(new Pending(request, id, null, true, nowMicros));
          } else {
            outbox.answer(request, 404, Json.of("error", "no such job"));
          }
        },
        () -> outbox.retryLater(request, 503, "the state service does not answer", 1));
  }

  /** Refuses what has waited for too long, and commits what can be. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    while (!queue.isEmpty() && now - queue.peek().sinceMicros() > MAX_WAIT_MICROS) {
      refuse(List.of(queue.poll()), "not committed in time");
    }
    flush();
  }

  /** Commits what waits, many requests in one transaction. */
  private void flush() {
    if (inFlight || queue.isEmpty() || nowMicros < nextMicros || !stateStore.loaded()) {
      return;
    }
    Map<String, Long> conditions = new LinkedHashMap<>();
    List<Mutation> writes = new ArrayList<>();
    List<Pending> batch = new ArrayList<>();
    List<Pending> later = new ArrayList<>();
    int bytes = 0;
    // What there are tokens for goes now: a full batch must not wait for a full bucket.
    int room =
        Math.min(stateStore.limits().maxOperations(), Math.max(1, stateStore.availableWrites(0)));
    while (!queue.isEmpty()
        && writes.size() < room
        && bytes < stateStore.limits().maxTransactionBytes()) {
      Pending p = queue.poll();
      String key = Job.key(p.id());
      if (conditions.containsKey(key)) {
        later.add(p);
        continue;
      }
      if (p.cancellation()) {
        Job job = jobs.unfinished(p.id());
        if (job == null) {
          cancel(p.request(), p.id());
          continue;
        }
        conditions.put(key, job.modRevision());
        writes.add(Mutation.put(key, Job.cancelled(job.tasks())));
      } else if (known(p.id())) {
        poll(p.request(), p.id());
        continue;
      } else {
        conditions.put(key, 0L);
        Map<String, Object> data = Job.accepted(p.spec(), cluster.homeShard(p.spec()), wallMicros);
        bytes += Json.bytes(data).length;
        writes.add(Mutation.put(key, data));
      }
      batch.add(p);
    }
    if (!batch.isEmpty() && stateStore.tryAcquireWrites(batch.size(), 0)) {
      inFlight = true;
      stateStore.commit(conditions, writes, outcome -> finished(outcome, batch));
    } else {
      for (int i = batch.size() - 1; i >= 0; i--) {
        queue.addFirst(batch.get(i));
      }
    }
    queue.addAll(later);
  }

  private void refuse(List<Pending> batch, String why) {
    for (Pending p : batch) {
      outbox.retryLater(p.request(), 503, why, 1);
      tracer.refused(p.id(), why);
    }
  }

  private void finished(CommitOutcome outcome, List<Pending> batch) {
    inFlight = false;
    switch (outcome.status()) {
      case COMMITTED -> {
        List<String> withdrawn =
            batch.stream().filter(Pending::cancellation).map(Pending::id).toList();
        if (!withdrawn.isEmpty()) {
          cluster.announceCancelled(withdrawn);
        }
        for (Pending p : batch) {
          if (p.cancellation()) {
            LOG.info("job {} withdrawn", p.id());
          } else {
            LOG.info("job {} accepted: {}", p.id(), p.spec());
            tracer.accepted(p.id());
          }
          int status = p.cancellation() ? 200 : 201;
          // A job may be withdrawn from the start, by one that it needs.
          String phase = jobs.isFinished(p.id()) ? jobs.finished(p.id()).phase().word() : "queued";
          outbox.answer(p.request(), status, Json.of("id", p.id(), "phase", phase));
        }
      }
      case CONFLICT ->
          // Somebody else changed one of these jobs; with the copy that new, each is looked at
          // anew.
          stateStore.whenRevisionReached(
              outcome.revision(),
              () -> {
                queue.addAll(batch);
                flush();
              },
              () -> refuse(batch, "the state service does not answer"));
      case UNKNOWN ->
          // The transaction may still be applied; a repeat finds the job or commits it again.
          refuse(batch, "the state service does not answer");
      case THROTTLED -> {
        // Nothing was done, and tokens come soon: what waits too long is refused meanwhile.
        for (int i = batch.size() - 1; i >= 0; i--) {
          queue.addFirst(batch.get(i));
        }
        nextMicros = nowMicros + THROTTLED_MICROS;
      }
      default -> {
        refuse(batch, "the state service is out of order");
        nextMicros = nowMicros + 100_000;
      }
    }
  }
}
