package gladeknot.app;

import com.google.common.collect.Lists;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ConnectivityMonitor;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.connectivity.HeartbeatObserver;
import gladeknot.fleet.Fleet;
import gladeknot.fleet.InstanceCatalog;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobRequestHandler;
import gladeknot.jobs.JobSpec;
import gladeknot.jobs.TaskCounts;
import gladeknot.json.Json;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.membership.StorageFormat;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.quota.QuotaAllocator;
import gladeknot.scheduling.HomeShardSelector;
import gladeknot.scheduling.Scheduler;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.state.Change;
import gladeknot.state.ChangeListener;
import gladeknot.state.StateStore;
import gladeknot.tasks.SegmentLayout;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.HeartbeatHandler;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import gladeknot.workers.WorkerRecordCodec;
import gladeknot.workers.WorkerRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The whole controller as a state machine: time, requests and replies go in, calls and answers come
 * out of its {@link Outbox}.
 */
public final class Controller implements ChangeListener {
  private final Outbox outbox = new Outbox();
  private final Optional<ConnectivityMonitor> connectivity;
  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;
  private final JobRequestHandler jobRequests;
  private final WorkerRegistry workers = new WorkerRegistry();
  private HeartbeatHandler workerRequests;
  private final SliceRegistry slices;
  private final TransactionCommitter recordWriter;
  private final TaskLifecycle scheduler;
  private final Scheduler placer;
  private final QuotaAllocator budgets;
  private final InstanceCatalog catalog = new InstanceCatalog();
  private final Fleet fleet;
  private final HomeShardSelector homes;
  private final String nodeName;
  private final TaskTracer tracer;

  /** Wires the parts of a controller that traces nothing. */
  public Controller(Settings settings, Features features, Policy policy, RandomGenerator random) {
    this(settings, features, policy, random, TaskTracer.NONE);
  }

  /** Wires the parts of a controller; nothing happens before the first {@link #tick}. */
  public Controller(
      Settings settings,
      Features features,
      Policy policy,
      RandomGenerator random,
      TaskTracer tracer) {
    this.tracer = tracer;
    policy.settings(settings);
    connectivity = features.partialCuts().map(f -> new ConnectivityMonitor(settings, f, outbox));
    nodeName = settings.node();
    stateStore = new StateStore(settings, outbox, random, this);
    membership =
        new Membership(
            settings,
            policy,
            stateStore,
            connectivity.<Authority.StateLink>map(c -> c).orElse(Authority.StateLink.TRUSTED),
            connectivity.<FailoverAdvisor>map(c -> c).orElse(FailoverAdvisor.NONE),
            new ShardListener());
    connectivity.ifPresent(
        c -> c.attach(new CachedShardView(settings, membership, workers), membership.authority()));
    jobs = new JobRegistry(this::jobChanged);
    slices =
        new SliceRegistry(
            membership.shardCount(), membership.format()::segmentSplit, stateStore, workers);
    recordWriter = new TransactionCommitter(stateStore, membership, jobs, slices, tracer);
    scheduler =
        new TaskLifecycle(
            settings,
            membership,
            jobs,
            slices,
            workers,
            recordWriter,
            outbox,
            catalog::cacheGb,
            tracer);
    budgets = new QuotaAllocator(settings, stateStore, membership, slices, recordWriter, outbox);
    placer =
        new Scheduler(
            settings,
            policy,
            membership,
            jobs,
            slices,
            workers,
            recordWriter,
            budgets,
            scheduler,
            catalog::type,
            catalog::zones);
    fleet =
        new Fleet(
            settings,
            policy,
            stateStore,
            membership,
            workers,
            recordWriter,
            scheduler,
            outbox,
            catalog,
            new FleetSchedulerView(placer));
    homes = new HomeShardSelector(settings, membership, jobs, workers, catalog::type);
    recordWriter.afterCommit(
        () -> {
          scheduler.requestScheduling();
          workerRequests.release();
        });
    jobRequests =
        new JobRequestHandler(settings, stateStore, jobs, outbox, tracer, new JobSurroundings());
    workerRequests =
        new HeartbeatHandler(
            settings,
            stateStore,
            membership,
            workers,
            outbox,
            connectivity.<HeartbeatObserver>map(c -> c).orElse(HeartbeatObserver.NONE),
            new WorkerSync());
  }

  public Outbox outbox() {
    return outbox;
  }

  /** What operators are shown of links and authority; empty without the feature. */
  public Map<String, Object> status() {
    return connectivity.map(ConnectivityMonitor::status).orElse(Map.of());
  }

  /** Lets time pass; both clocks in microseconds, the steady one and the time of day. */
  public void tick(long nowMicros, long wallMicros) {
    // First of all what the others are entitled to is judged by this time, also after a stall.
    membership.setTime(nowMicros);
    tracer.now(wallMicros);
    connectivity.ifPresent(c -> c.tick(nowMicros, wallMicros));
    slices.tick(nowMicros);
    stateStore.tick(nowMicros);
    membership.tick(nowMicros);
    workerRequests.tick(nowMicros);
    jobRequests.tick(nowMicros, wallMicros);
    scheduler.tick(nowMicros, wallMicros);
    budgets.tick(nowMicros);
    placer.tick(nowMicros, wallMicros);
    fleet.tick(nowMicros, wallMicros);
    recordWriter.tick(nowMicros);
  }

  /** Takes in what another controller tells. */
  public void onPeerMessage(PeerMessage message) {
    budgets.onPeerMessage(message);
    scheduler.onCancelledElsewhere(message.cancelledJobs());
    connectivity.ifPresent(c -> c.onPeerMessage(message));
  }

  /** Takes a request; its answer comes out of the outbox under the same number. */
  public void onRequest(long id, String method, String uri, byte[] body) {
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    switch (path) {
      case "/healthz" -> {
        if (allowed(id, method, "GET")) {
          health(id);
        }
      }
      case "/work" -> {
        if (allowed(id, method, "POST")) {
          jobRequests.submit(id, body);
        }
      }
      case "/hello" -> {
        if (allowed(id, method, "POST")) {
          workerRequests.handle(id, body);
        }
      }
      default -> ofJob(id, method, path);
    }
  }

  private void ofJob(long id, String method, String path) {
    String[] parts = path.split("/", -1);
    boolean named = parts.length >= 3 && parts[1].equals("work") && !parts[2].isEmpty();
    if (named && parts.length == 3) {
      if (allowed(id, method, "GET")) {
        if (JobSpec.isId(parts[2])) {
          jobRequests.poll(id, parts[2]);
        } else {
          outbox.answer(id, 404, Json.of("error", "no such job"));
        }
      }
    } else if (named && parts.length == 4 && parts[3].equals("abort")) {
      if (allowed(id, method, "POST")) {
        if (JobSpec.isId(parts[2])) {
          jobRequests.cancel(id, parts[2]);
        } else {
          outbox.answer(id, 404, Json.of("error", "no such job"));
        }
      }
    } else {
      outbox.answer(id, 404, Json.of("error", "no such path"));
    }
  }

  private boolean allowed(long id, String method, String wanted) {
    if (method.equals(wanted)) {
      return true;
    }
    outbox.answer(id, 405, Json.of("error", "use " + wanted));
    return false;
  }

  private void health(long id) {
    if (stateStore.loaded() && membership.mayAct() && catalog.isKnown()) {
      outbox.answer(id, 200, Json.of("ok", true));
    } else {
      outbox.retryLater(id, 503, "not ready", 1);
    }
  }

  /**
   * Takes in changes of the copy that came together: where each record lies, then jobs, since
   * records are read by what is known of their jobs, then what the records and other keys say.
   */
  @Override
  public void onChanges(List<Change> changes) {
    for (Change change : changes) {
      if (change.key().startsWith(SegmentLayout.KEY_PREFIX)) {
        slices.onSegmentChange(change);
      } else if (change.key().equals(StorageFormat.key())) {
        membership.format().onChange();
      }
    }
    for (Change change : changes) {
      if (change.key().startsWith(Job.KEY_PREFIX)) {
        jobs.onChange(change.key(), change.after());
      }
    }
    for (Change change : changes) {
      if (change.key().startsWith(SegmentLayout.KEY_PREFIX)) {
        scheduler.onSegmentChange(change.key());
      } else if (change.key().startsWith(WorkerRecordCodec.KEY_PREFIX)) {
        workers.onChange(change.key(), change.before(), change.after());
        scheduler.requestScheduling();
      } else if (!change.key().startsWith(Job.KEY_PREFIX)) {
        scheduler.requestScheduling();
      }
    }
  }

  private void jobChanged(Job before, Job now) {
    if (before != null || now != null) {
      scheduler.onJobChange(before, now);
      if (before == null && now != null && now.active()) {
        fleet.onJobArrival(now);
      }
    }
  }

  private void shardGained(int shard) {
    recordWriter.onAcquired(shard);
    connectivity.ifPresent(c -> c.onAcquired(shard));
    scheduler.requestScheduling();
  }

  private void shardLost(int shard) {
    recordWriter.onReleased(shard);
    workers.resetSessions(shard);
    connectivity.ifPresent(c -> c.onReleased(shard));
  }

  /** What the other parts do when shards change hands. */
  private final class ShardListener implements Membership.Listener {
    @Override
    public void onAcquired(int shard) {
      shardGained(shard);
    }

    @Override
    public void onReleased(int shard) {
      shardLost(shard);
    }

    @Override
    public boolean mostWorkersTimedOut(int shard) {
      return scheduler.mostWorkersTimedOut(shard);
    }
  }

  /** What the handler of reports asks of placement and fleet. */
  private final class WorkerSync implements HeartbeatHandler.Reconciler {
    @Override
    public List<WorkerCommand> reconcile(Worker worker, Heartbeat report) {
      return scheduler.reconcile(worker, report);
    }

    @Override
    public long requestScheduling() {
      placer.runIfNeeded();
      return placer.completedRounds() + (scheduler.isSchedulingNeeded() ? 1 : 0);
    }

    @Override
    public long completedRounds() {
      return placer.completedRounds();
    }

    @Override
    public void onWorkerRestart(Worker worker, Heartbeat now) {
      scheduler.onWorkerRestart(worker, now);
    }

    @Override
    public List<WorkerCommand> killsForFinishedJobs(Heartbeat report) {
      return scheduler.killsForFinishedJobs(report);
    }

    @Override
    public boolean isSteady(Worker worker) {
      return scheduler.isSteady(worker);
    }

    @Override
    public void registerUnknownWorker(Heartbeat report) {
      fleet.registerUnknownWorker(report);
    }
  }

  private final class JobSurroundings implements JobRequestHandler.ClusterView {
    @Override
    public boolean typesKnown() {
      return catalog.isKnown();
    }

    @Override
    public boolean fitsSomeType(JobSpec spec) {
      return catalog.fitsSomeType(spec);
    }

    @Override
    public int homeShard(JobSpec spec) {
      return homes.home(spec);
    }

    @Override
    public TaskCounts taskCounts(Job job) {
      return scheduler.taskCounts(job);
    }

    @Override
    public String refusal() {
      return membership.authority().refusal();
    }

    @Override
    public void announceCancelled(List<String> ids) {
      for (List<String> part : Lists.partition(ids, PeerMessage.MAX_CANCELLED_JOBS)) {
        outbox.sendToPeers(PeerMessage.ofCancelledJobs(nodeName, part));
      }
    }
  }
}
