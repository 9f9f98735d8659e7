package gladeknot.app;

import com.google.common.collect.Lists;
import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ConnectivityMonitor;
import gladeknot.connectivity.OwnerAdvisor;
import gladeknot.connectivity.WorkerTraffic;
import gladeknot.fleet.Fleet;
import gladeknot.fleet.MachineType;
import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobRequestHandler;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.ClusterFormat;
import gladeknot.membership.Membership;
import gladeknot.peer.PeerMessage;
import gladeknot.placement.HomeSelector;
import gladeknot.placement.Placer;
import gladeknot.placement.RecordWriter;
import gladeknot.placement.Scheduler;
import gladeknot.placement.Slice;
import gladeknot.placement.SliceRegistry;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.teams.Budgets;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Report;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import gladeknot.workers.WorkerRequestHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The whole controller as a state machine: time, requests and replies go in, calls and answers come
 * out of its {@link Outbox}.
 */
public final class Core implements StateStore.Listener {
  private final Outbox outbox = new Outbox();
  private final Optional<ConnectivityMonitor> connectivity;
  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;
  private final JobRequestHandler jobRequests;
  private final WorkerRegistry workers = new WorkerRegistry();
  private WorkerRequestHandler workerRequests;
  private final SliceRegistry slices;
  private final RecordWriter recordWriter;
  private final Scheduler scheduler;
  private final Placer placer;
  private final Budgets budgets;
  private final Fleet fleet;
  private final HomeSelector homes;
  private final String nodeName;
  private final TaskTracer tracer;

  /** Wires the parts of a controller that traces nothing. */
  public Core(Settings settings, Features features, Policy policy, RandomGenerator random) {
    this(settings, features, policy, random, TaskTracer.NONE);
  }

  /** Wires the parts of a controller; nothing happens before the first {@link #tick}. */
  public Core(
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
            connectivity.<OwnerAdvisor>map(c -> c).orElse(OwnerAdvisor.NONE),
            new ShardListener());
    connectivity.ifPresent(
        c -> c.attach(new CopiedShards(settings, membership, workers), membership.authority()));
    jobs = new JobRegistry(this::jobChanged);
    slices =
        new SliceRegistry(membership.shards(), membership.format()::partSplit, stateStore, workers);
    recordWriter = new RecordWriter(stateStore, membership, jobs, slices, tracer);
    scheduler =
        new Scheduler(
            settings,
            membership,
            jobs,
            slices,
            workers,
            recordWriter,
            outbox,
            this::cacheGb,
            tracer);
    budgets = new Budgets(settings, stateStore, membership, slices, recordWriter, outbox);
    fleet =
        new Fleet(
            settings, policy, stateStore, membership, workers, recordWriter, scheduler, outbox);
    placer =
        new Placer(
            settings,
            policy,
            membership,
            jobs,
            slices,
            workers,
            recordWriter,
            budgets,
            scheduler,
            fleet::type,
            fleet::zonesOffered);
    fleet.setPlacer(placer);
    homes = new HomeSelector(settings, membership, jobs, workers, fleet::type);
    recordWriter.afterCommit(
        () -> {
          scheduler.touch();
          workerRequests.release();
        });
    jobRequests =
        new JobRequestHandler(settings, stateStore, jobs, outbox, tracer, new JobSurroundings());
    workerRequests =
        new WorkerRequestHandler(
            settings,
            stateStore,
            membership,
            workers,
            outbox,
            connectivity.<WorkerTraffic>map(c -> c).orElse(WorkerTraffic.NONE),
            new WorkerSync());
  }

  public Outbox outbox() {
    return outbox;
  }

  /** What operators are shown of links and authority; empty without the feature. */
  public Map<String, Object> status() {
    return connectivity.map(ConnectivityMonitor::status).orElse(Map.of());
  }

  private double cacheGb(String type) {
    MachineType t = fleet.type(type);
    return t == null ? 0 : t.cacheGb();
  }

  /** Lets time pass; both clocks in microseconds, the steady one and the time of day. */
  public void tick(long nowMicros, long wallMicros) {
    // First of all what the others are entitled to is judged by this time, also after a stall.
    membership.now(nowMicros);
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
  public void message(PeerMessage message) {
    budgets.message(message);
    scheduler.withdrawnElsewhere(message.withdrawn());
    connectivity.ifPresent(c -> c.message(message));
  }

  /** Takes a request; its answer comes out of the outbox under the same number. */
  public void request(long id, String method, String uri, byte[] body) {
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
          workerRequests.hello(id, body);
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
          jobRequests.abort(id, parts[2]);
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
    if (stateStore.loaded() && membership.entitled() && fleet.typesKnown()) {
      outbox.answer(id, 200, Json.of("ok", true));
    } else {
      outbox.comeBack(id, 503, "not ready", 1);
    }
  }

  /**
   * Takes in changes of the copy that came together: where each record lies, then jobs, since
   * records are read by what is known of their jobs, then what the records and other keys say.
   */
  @Override
  public void changed(List<StateStore.Change> changes) {
    for (StateStore.Change change : changes) {
      if (change.key().startsWith(Slice.KEYS)) {
        slices.partChanged(change);
      } else if (change.key().equals(ClusterFormat.key())) {
        membership.format().changed();
      }
    }
    for (StateStore.Change change : changes) {
      if (change.key().startsWith(Job.KEYS)) {
        jobs.changed(change.key(), change.now());
      }
    }
    for (StateStore.Change change : changes) {
      if (change.key().startsWith(Slice.KEYS)) {
        scheduler.recordChanged(change.key());
      } else if (change.key().startsWith(Worker.KEYS)) {
        workers.changed(change.key(), change.before(), change.now());
        scheduler.touch();
      } else if (!change.key().startsWith(Job.KEYS)) {
        scheduler.touch();
      }
    }
  }

  private void jobChanged(Job before, Job now) {
    if (before != null || now != null) {
      scheduler.jobChanged(before, now);
      if (before == null && now != null && now.active()) {
        fleet.came(now);
      }
    }
  }

  private void shardGained(int shard) {
    recordWriter.gained(shard);
    connectivity.ifPresent(c -> c.gained(shard));
    scheduler.touch();
  }

  private void shardLost(int shard) {
    recordWriter.lost(shard);
    workers.forget(shard);
    connectivity.ifPresent(c -> c.lost(shard));
  }

  /** What the other parts do when shards change hands. */
  private final class ShardListener implements Membership.Listener {
    @Override
    public void gained(int shard) {
      shardGained(shard);
    }

    @Override
    public void lost(int shard) {
      shardLost(shard);
    }

    @Override
    public boolean silent(int shard) {
      return scheduler.silent(shard);
    }
  }

  /** What the handler of reports asks of placement and fleet. */
  private final class WorkerSync implements WorkerRequestHandler.Sync {
    @Override
    public List<Map<String, Object>> orders(Worker worker, Report report) {
      return scheduler.orders(worker, report);
    }

    @Override
    public long place() {
      placer.passSoon();
      return placer.passes() + (scheduler.isChanged() ? 1 : 0);
    }

    @Override
    public long placed() {
      return placer.passes();
    }

    @Override
    public void restarted(Worker worker, Report now) {
      scheduler.restarted(worker, now);
    }

    @Override
    public List<Map<String, Object>> overdue(Report report) {
      return scheduler.overdue(report);
    }

    @Override
    public boolean quiet(Worker worker) {
      return scheduler.quiet(worker);
    }

    @Override
    public void adopt(Report report) {
      fleet.adopt(report);
    }
  }

  private final class JobSurroundings implements JobRequestHandler.Surroundings {
    @Override
    public boolean typesKnown() {
      return fleet.typesKnown();
    }

    @Override
    public boolean fitsSomeType(JobSpec spec) {
      return fleet.fitsSomeType(spec);
    }

    @Override
    public int homeShard(JobSpec spec) {
      return homes.home(spec);
    }

    @Override
    public int[] counts(Job job) {
      return scheduler.counts(job);
    }

    @Override
    public String refusal() {
      return membership.authority().refusal();
    }

    @Override
    public void withdrawn(List<String> ids) {
      for (List<String> part : Lists.partition(ids, PeerMessage.MOST_WITHDRAWN)) {
        outbox.message(PeerMessage.ofWithdrawn(nodeName, part));
      }
    }
  }
}
