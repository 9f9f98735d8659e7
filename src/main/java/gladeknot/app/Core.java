package gladeknot.app;

import gladeknot.fleet.Fleet;
import gladeknot.fleet.MachineType;
import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobBook;
import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobsDesk;
import gladeknot.ledger.Ledger;
import gladeknot.membership.Membership;
import gladeknot.peer.Hint;
import gladeknot.placement.Placer;
import gladeknot.placement.Recorder;
import gladeknot.placement.Scheduler;
import gladeknot.placement.Slice;
import gladeknot.placement.SliceBook;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.teams.Budgets;
import gladeknot.workers.Report;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerBook;
import gladeknot.workers.WorkerDesk;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The whole controller as a state machine: time, requests and replies go in, calls and answers come
 * out of its {@link Outbox}.
 */
public final class Core implements Ledger.Listener {
  private final Outbox outbox = new Outbox();
  private final Ledger ledger;
  private final Membership membership;
  private final JobBook jobs;
  private final JobsDesk jobsDesk;
  private final WorkerBook workers = new WorkerBook();
  private WorkerDesk workerDesk;
  private final SliceBook slices;
  private final Recorder recorder;
  private final Scheduler scheduler;
  private final Placer placer;
  private final Budgets budgets;
  private final Fleet fleet;
  private final String nodeName;

  public Core(Settings settings, Policy policy, RandomGenerator random) {
    policy.settings(settings);
    nodeName = settings.node();
    ledger = new Ledger(settings, outbox, random, this);
    membership =
        new Membership(
            settings,
            policy,
            ledger,
            new Membership.Listener() {
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
            });
    jobs = new JobBook(this::jobChanged);
    slices = new SliceBook(membership.shards(), ledger, workers);
    recorder = new Recorder(settings, ledger, membership, jobs, slices);
    scheduler =
        new Scheduler(settings, membership, jobs, slices, workers, recorder, outbox, this::cacheGb);
    budgets = new Budgets(settings, ledger, membership, slices, recorder, outbox);
    fleet = new Fleet(settings, policy, ledger, membership, workers, recorder, scheduler, outbox);
    placer =
        new Placer(
            settings,
            policy,
            membership,
            jobs,
            slices,
            workers,
            recorder,
            budgets,
            scheduler,
            fleet::type,
            fleet::zonesOffered);
    fleet.setPlacer(placer);
    recorder.afterCommit(
        () -> {
          scheduler.touch();
          workerDesk.release();
        });
    jobsDesk = new JobsDesk(settings, ledger, jobs, outbox, new DeskView());
    workerDesk =
        new WorkerDesk(
            settings,
            ledger,
            membership,
            workers,
            outbox,
            new WorkerDesk.Sync() {
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
            });
  }

  public Outbox outbox() {
    return outbox;
  }

  private double cacheGb(String type) {
    MachineType t = fleet.type(type);
    return t == null ? 0 : t.cacheGb();
  }

  /** Lets time pass; both clocks in microseconds, the steady one and the time of day. */
  public void tick(long nowMicros, long wallMicros) {
    // First of all what the others are entitled to is judged by this time, also after a stall.
    membership.now(nowMicros);
    slices.tick(nowMicros);
    ledger.tick(nowMicros);
    membership.tick(nowMicros);
    workerDesk.tick(nowMicros);
    jobsDesk.tick(nowMicros, wallMicros);
    scheduler.tick(nowMicros);
    budgets.tick(nowMicros);
    placer.tick(nowMicros, wallMicros);
    fleet.tick(nowMicros, wallMicros);
    recorder.tick(nowMicros);
  }

  /** Takes in what another controller tells. */
  public void hint(Hint hint) {
    budgets.hint(hint);
    scheduler.withdrawnElsewhere(hint.withdrawn());
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
          jobsDesk.submit(id, body);
        }
      }
      case "/hello" -> {
        if (allowed(id, method, "POST")) {
          workerDesk.hello(id, body);
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
          jobsDesk.poll(id, parts[2]);
        } else {
          outbox.answer(id, 404, Json.of("error", "no such job"));
        }
      }
    } else if (named && parts.length == 4 && parts[3].equals("abort")) {
      if (allowed(id, method, "POST")) {
        if (JobSpec.isId(parts[2])) {
          jobsDesk.abort(id, parts[2]);
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
    if (ledger.loaded() && membership.entitled() && fleet.typesKnown()) {
      outbox.answer(id, 200, Json.of("ok", true));
    } else {
      outbox.comeBack(id, 503, "not ready", 1);
    }
  }

  @Override
  public void changed(String key, Ledger.Entry before, Ledger.Entry now) {
    if (key.startsWith(Job.KEYS)) {
      jobs.changed(key, now);
    } else if (key.startsWith(Slice.KEYS)) {
      scheduler.recordChanged(key);
    } else if (key.startsWith(Worker.KEYS)) {
      workers.changed(key, before, now);
      scheduler.touch();
    } else {
      scheduler.touch();
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
    recorder.gained(shard);
    scheduler.touch();
  }

  private void shardLost(int shard) {
    recorder.lost(shard);
    workers.forget(shard);
  }

  private final class DeskView implements JobsDesk.Surroundings {
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
      return membership.home();
    }

    @Override
    public int[] counts(Job job) {
      return scheduler.counts(job);
    }

    @Override
    public void withdrawn(List<String> ids) {
      outbox.hint(Hint.ofWithdrawn(nodeName, ids));
    }
  }
}
