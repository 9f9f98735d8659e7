package gladeknot.fleet;

import gladeknot.commit.FieldMutation;
import gladeknot.commit.MutationCallback;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.policy.Policy;
import gladeknot.scheduling.Scheduler;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.state.TokenBucket;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRecord;
import gladeknot.workers.WorkerRecordCodec;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for what waits, gives back what is idle or broken, adopts what nobody expects. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final long CALL_MICROS = 8_000_000;
  private static final long TYPES_MICROS = 60_000_000;
  private static final long STEP_MICROS = 800_000;
  private static final long LIST_MICROS = 20_000_000;

  /** The most that the protocol lets one request rent. */
  private static final int MAX_AT_ONCE = 50;

  /**
   * How many waiting tasks one look at what waits goes through at least, and as many times as there
   * are machines: what a look costs is bounded, and every machine can get a task that fills it.
   */
  private static final int MIN_FORECAST = 3000;

  private static final int FORECAST_A_MACHINE = 2;

  /** Tasks are often longer than they are thought to be. */
  private static final double CAREFUL = 1.15;

  private static final long PLAN_MICROS = 2_000_000;
  private static final long TURN_MICROS = 4_000_000;

  /** How long after a task's end a job is seen to be done. */
  private static final long TOLD_MICROS = 3_000_000;

  /**
   * For so many machines the looks at the whole fleet are as frequent as named here; for more they
   * come as much more seldom, so that what they cost a second stays the same. A machine takes many
   * times as long to boot.
   */
  private static final double USUAL_FLEET = 180;

  private static final double MAX_SLOWED = 8;

  /** A rental on its way: its machines count as coming until its answer is known. */
  private static final class ScaleOutRequest {
    private final String name;
    private final InstanceOfferings.InstanceOffering offer;
    private final int number;
    private final int shard;
    private int tries;

    private ScaleOutRequest(
        String name, InstanceOfferings.InstanceOffering offer, int number, int shard) {
      this.name = name;
      this.offer = offer;
      this.number = number;
      this.shard = shard;
    }
  }

  private final Settings settings;
  private final Policy policy;
  private final StateStore stateStore;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final TransactionCommitter recordWriter;
  private final TaskLifecycle scheduler;
  private final Outbox outbox;
  private final TokenBucket tokens;
  private Scheduler placer;
  private final InstanceOfferings offers = new InstanceOfferings();
  private final List<ScaleOutRequest> rentals = new ArrayList<>();
  private final Set<String> adopting = new HashSet<>();
  private final Map<String, Long> strangers = new HashMap<>();
  private final Demand demand = new Demand();

  private final ScaleIn releases;

  /** Machines by zone. */
  private final Map<String, Integer> inZones = new HashMap<>();

  private boolean askingTypes;
  private long nextTypesMicros;
  private long nextStepMicros;
  private long nextListMicros;
  private double slower = 1;
  private long nextRentMicros;
  private long nextPlanMicros;
  private boolean listing;
  private long rentalCount;
  private long nowMicros;
  private long wallMicros;

  /** A fleet without known types: these are asked for first. */
  public Fleet(
      Settings settings,
      Policy policy,
      StateStore stateStore,
      Membership membership,
      WorkerRegistry workers,
      TransactionCommitter recordWriter,
      TaskLifecycle scheduler,
      Outbox outbox) {
    this.settings = settings;
    this.policy = policy;
    this.stateStore = stateStore;
    this.membership = membership;
    this.workers = workers;
    this.recordWriter = recordWriter;
    this.scheduler = scheduler;
    this.outbox = outbox;
    double rps = settings.cloudLimits().rps() / settings.nodes().size();
    this.tokens = new TokenBucket(rps * 0.9, rps * 1.8);
    this.releases =
        new ScaleIn(
            settings,
            policy,
            membership,
            workers,
            recordWriter,
            scheduler,
            outbox,
            tokens,
            offers::type);
  }

  public void setPlacer(Scheduler placer) {
    this.placer = placer;
  }

  public MachineType type(String name) {
    return offers.type(name);
  }

  /** Zones in which some type is offered. */
  public List<String> zonesOffered() {
    return offers.zones();
  }

  public boolean typesKnown() {
    return !offers.types().isEmpty();
  }

  public boolean fitsSomeType(JobSpec spec) {
    return offers.fitsSome(spec);
  }

  /** Lets time pass, in microseconds of the steady clock and of the time of day. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (!askingTypes && now >= nextTypesMicros) {
      askTypes();
    }
    if (now < nextStepMicros || !stateStore.loaded() || !typesKnown()) {
      return;
    }
    nextStepMicros = now + STEP_MICROS;
    slower = Math.max(1, Math.min(MAX_SLOWED, workers.all().size() / USUAL_FLEET));
    countZones();
    releases.step(now, wall);
    if (now >= nextRentMicros) {
      nextRentMicros = now + (long) (STEP_MICROS * slower) - STEP_MICROS / 2;
      Scheduler.DemandQueue queue = placer.demandQueue();
      rent(queue);
      lend(queue);
    }
    if (now >= nextPlanMicros) {
      nextPlanMicros = now + (long) (PLAN_MICROS * slower);
      plan();
    }
    if (!listing && now >= nextListMicros && membership.mayAct()) {
      nextListMicros = now + LIST_MICROS;
      list("");
    }
  }

  private void askTypes() {
    if (!tokens.tryAcquire(1, 0, nowMicros)) {
      return;
    }
    askingTypes = true;
    outbox.call(
        settings.cloudAddress(),
        "GET",
        "/machine_types",
        null,
        3_000_000,
        reply -> {
          askingTypes = false;
          if (reply.status() != 200) {
            nextTypesMicros = nowMicros + 1_000_000;
            return;
          }
          nextTypesMicros = nowMicros + TYPES_MICROS;
          boolean first = !typesKnown();
          offers.read(
              Json.objects(reply.object(), "hosttypes").stream().map(MachineType::read).toList());
          if (first) {
            LOG.info("machine types: {}", offers.types());
          }
          scheduler.requestScheduling();
        });
  }

  /** Rents for our tasks that would start too late on the machines that are there or coming. */
  private void rent(Scheduler.DemandQueue queue) {
    policy.load(
        workers.all().size(),
        queue.pending().stream().mapToInt(Scheduler.PendingDemand::count).sum());
    int last = queue.pending().size() - 1;
    while (last >= 0 && !queue.pending().get(last).owned()) {
      last--;
    }
    if (last < 0 || !offers.anyOpen(nowMicros)) {
      return;
    }
    Forecast forecast = forecast();
    Map<InstanceOfferings.InstanceOffering, Integer> wanted = new LinkedHashMap<>();
    int shard = -1;
    int looked = 0;
    int most = mostForecast();
    // What comes after our last need takes nothing from it.
    for (Scheduler.PendingDemand need : queue.pending().subList(0, last + 1)) {
      JobSpec spec = need.job().spec();
      // What may be stopped for a task is no hindrance to it: lower ranks are put in after.
      forecast.admit(spec.priority());
      long run = placer.estimates().runMicros(spec);
      long careful = run < Forecast.NEVER ? (long) (run * CAREFUL) : run;
      int mine = need.owned() ? need.count() : 0;
      Map<String, Integer> inZone = new HashMap<>(need.tasksByZone());
      // A gang needs all its room in one shard, and in one zone if its tasks stay together.
      int only = spec.shape() == JobSpec.Shape.GANG && need.count() > 1 ? need.shard() : -1;
      if (only >= 0 && spec.colocated() && inZone.isEmpty()) {
        long by = nowMicros + policy.micros(Policy.Name.PATIENCE);
        inZone.put(forecast.roomiest(spec, only, by, zonesOffered()), 0);
      }
      Forecast.Search search = forecast.search(spec, only);
      boolean anywhere = only < 0 && !spec.spread() && !spec.colocated();
      int i = 0;
      while (i < need.count() && looked < most) {
        Forecast.Slot slot = need.starved() ? search.fresh(inZone) : search.best(inZone);
        long starts = search.startsMicros();
        long at = slot == null ? Forecast.NEVER : starts + slot.fetchMicros(spec);
        if (i < mine) {
          long latest = latestStart(need.job(), careful, at);
          if (at > latest) {
            InstanceOfferings.InstanceOffering offer =
                choose(spec, inZone, need.count() - i, wanted, latest, at);
            if (offer != null) {
              shard = need.shard();
              wanted.merge(offer, 1, Integer::sum);
              slot = slot(offer, shard, nowMicros + offer.type().readyMicros());
              starts = slot.earliest(spec);
              forecast.add(slot);
            }
          }
        }
        if (slot == null) {
          break;
        }
        // Tasks of one job that start on one machine at one time are put there together.
        int rest = Math.min(need.count() - i, most - looked);
        int n = anywhere ? (int) Math.max(1, Math.min(rest, slot.roomBy(spec, starts))) : 1;
        // A gang's tasks run side by side: none of them waits for another's end.
        forecast.put(slot, spec, starts, only >= 0 ? Forecast.NEVER : run, n);
        inZone.merge(slot.zone, n, Integer::sum);
        i += n;
        looked += n;
      }
    }
    for (Map.Entry<InstanceOfferings.InstanceOffering, Integer> e : wanted.entrySet()) {
      hire(e.getKey(), e.getValue(), shard);
    }
  }

  /** How many tasks one look goes through; the machines on their way count as well. */
  private int mostForecast() {
    int machines = workers.all().size();
    for (ScaleOutRequest rental : rentals) {
      machines += rental.number;
    }
    return Math.max(MIN_FORECAST, FORECAST_A_MACHINE * machines);
  }

  /**
   * Compares what is likely to run, by what has come of late, with the machines there are. What has
   * no place is rented ahead, by one controller at a time; machines left empty may be given back.
   */
  private void plan() {
    Capacity capacity = new Capacity();
    for (Worker w : workers.all()) {
      MachineType type = type(w.type());
      if (type != null && w.registered() && !w.terminating() && w.reclaimAtMicros() == 0) {
        capacity.add(new Capacity.Box(w.host(), type, w.zone(), w.spot(), placer.replicas(w)));
      }
    }
    for (ScaleOutRequest r : rentals) {
      for (int i = 0; i < r.number; i++) {
        capacity.add(new Capacity.Box("", r.offer.type(), r.offer.zone, r.offer.spot, 0));
      }
    }
    capacity.sort();
    Map<InstanceOfferings.InstanceOffering, Integer> wanted = new LinkedHashMap<>();
    for (Job job : placer.services()) {
      Map<String, Integer> inZone = new HashMap<>();
      capacity.put(job.spec(), job.tasks(), inZone);
    }
    List<Demand.Load> loads =
        new ArrayList<>(
            demand
                .loads(wallMicros, policy.micros(Policy.Name.WINDOW), placer.estimates())
                .values());
    loads.sort(Comparator.comparing((Demand.Load l) -> l.like().priority()));
    for (Demand.Load load : loads) {
      JobSpec spec = load.like();
      int tasks = (int) Math.ceil(target(load));
      Map<String, Integer> inZone = new HashMap<>();
      boolean anywhere = !spec.spread() && !spec.colocated();
      int first = anywhere ? capacity.put(spec, tasks, new HashMap<>()) : 0;
      int i = first;
      while (i < tasks && i < mostForecast()) {
        if (i % Math.max(1, spec.tasks()) == 0) {
          inZone.clear();
        }
        if (!anywhere && capacity.put(spec, inZone)) {
          i++;
          continue;
        }
        InstanceOfferings.InstanceOffering offer =
            choose(spec, inZone, tasks - i, wanted, Forecast.NEVER, Forecast.NEVER);
        if (offer == null) {
          break;
        }
        wanted.merge(offer, 1, Integer::sum);
        Capacity.Box box = new Capacity.Box("", offer.type(), offer.zone, offer.spot, 0);
        capacity.add(box);
        int in = capacity.fill(box, spec, inZone, anywhere ? tasks - i : 1);
        if (in == 0) {
          break;
        }
        i += in;
      }
    }
    for (Capacity.Box box : capacity.boxes()) {
      Worker w = workers.get(box.host);
      if (w != null) {
        w.setSurplus(!box.used());
      }
    }
    // One shard's owner rents ahead at a time, in turns by the time of day.
    int shard = (int) (wallMicros / TURN_MICROS % membership.shardCount());
    if (membership.permits(ControlAction.SCALE_OUT, shard)) {
      for (Map.Entry<InstanceOfferings.InstanceOffering, Integer> e : wanted.entrySet()) {
        hire(e.getKey(), e.getValue(), shard);
      }
    }
  }

  /** How many tasks of a class there should be room for. */
  private double target(Demand.Load load) {
    JobSpec spec = load.like();
    double spread = policy.number(Policy.Name.SPREAD);
    Settings.Objective wait = objective(ObjectiveKind.WAIT, spec.jobClass());
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      if (wait == null) {
        return 0;
      }
      double coming = load.jobsPerS() * policy.number(Policy.Name.SERVICE_AHEAD);
      return (coming + spread * Math.sqrt(coming)) * load.tasksPerJob();
    }
    if (wait != null) {
      return load.tasks() + spread * Math.sqrt(load.tasks() * load.tasksPerJob());
    }
    // What a machine rented on demand can still be in time for needs less room ahead.
    long slack = spec.deadlineMicros() - placer.estimates().runMicros(spec) - TOLD_MICROS;
    return load.tasks()
        / (slack > 2 * offers.soonest(spec)
            ? policy.number(Policy.Name.FILL_WITH_SLACK)
            : policy.number(Policy.Name.FILL));
  }

  private Settings.Objective objective(ObjectiveKind kind, String jobClass) {
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind() == kind && jobClass.equals(o.jobClass())) {
        return o;
      }
    }
    return null;
  }

  /** Notes a job that has come. */
  public void onJobArrival(Job job) {
    if (wallMicros - job.readyMicros() < policy.micros(Policy.Name.WINDOW)) {
      demand.came(job);
    }
  }

  /**
   * Gives an empty worker to a shard whose gang waits for it. The worker has seen our term; its new
   * owner raises its own above it before it answers.
   */
  private void lend(Scheduler.DemandQueue queue) {
    for (Scheduler.PendingDemand need : queue.pending()) {
      JobSpec spec = need.job().spec();
      if (need.owned() || spec.shape() != JobSpec.Shape.GANG || need.count() < 2) {
        continue;
      }
      for (Worker w : workers.all()) {
        boolean free =
            membership.permits(ControlAction.SCALE_IN, w.shard())
                && placer.isSchedulable(w)
                && w.attempts().isEmpty()
                && w.heartbeat().tasks().isEmpty();
        if (!free
            || !spec.allowsMachine(w.type(), w.zone(), w.spot())
            || type(w.type()).fits(spec) == 0) {
          continue;
        }
        LOG.info(
            "lend {} of shard {} to shard {} for {}", w.host(), w.shard(), need.shard(), spec.id());
        w.setReleasing(true);
        edit(
            w.host(),
            w.shard(),
            w.record(),
            w.record(need.shard(), false),
            done -> w.setReleasing(false));
        return;
      }
    }
  }

  private static Forecast.Slot slot(
      InstanceOfferings.InstanceOffering offer, int shard, long from) {
    return new Forecast.Slot(offer.type(), offer.zone, offer.spot, shard, from, List.of());
  }

  /** The machines of all shards, as far as the followed copy and the reports tell. */
  private Forecast forecast() {
    Forecast forecast = new Forecast();
    for (Worker w : workers.all()) {
      MachineType type = type(w.type());
      if (type == null || !w.registered() || w.terminating() || w.reclaimAtMicros() != 0) {
        continue;
      }
      boolean ours = membership.ownedShards().contains(w.shard());
      long age = wallMicros - w.launchedWallMicros();
      long from = nowMicros;
      if (ours && w.heartbeat() != null) {
        if (w.consecutiveFailures() >= ScaleIn.MAX_ERRORS
            || w.unreachable()
            || nowMicros - w.heartbeatMicros() > ScaleIn.SILENT_MICROS) {
          continue;
        }
      } else if (w.attempts().isEmpty()) {
        // Not seen up. One that should be up long since is not counted on.
        boolean late = age > 2 * type.readyMicros() + ScaleIn.SILENT_MICROS;
        if (late
            && ours
            && nowMicros - membership.ownedSinceMicros(w.shard()) > releases.backMicros()) {
          continue;
        }
        from = nowMicros + Math.max(ours ? 1_000_000 : 0, type.readyMicros() - age);
      }
      Forecast.Slot slot =
          new Forecast.Slot(type, w.zone(), w.spot(), w.shard(), from, w.cachedImages());
      for (Attempt a : w.attempts().values()) {
        if (!a.closed()) {
          Slice s = a.slice();
          forecast.running(
              placer.priority(a),
              slot,
              from,
              placer.expectedEndMicros(a),
              s.cpus(),
              s.gpus(),
              s.memory());
        }
      }
      forecast.add(slot);
    }
    for (ScaleOutRequest r : rentals) {
      for (int i = 0; i < r.number; i++) {
        forecast.add(slot(r.offer, r.shard, nowMicros + r.offer.type().readyMicros()));
      }
    }
    return forecast;
  }

  /**
   * When a task of a job has to run by for the next of the job's aims that can still be met; if
   * none can, it is work without an aim.
   */
  private long latestStart(Job job, long run, long at) {
    JobSpec spec = job.spec();
    long age = Math.max(0, wallMicros - job.submittedMicros());
    if (spec.deadlineMicros() > 0) {
      long soonest = offers.soonest(spec);
      for (Settings.Objective o : settings.objectives()) {
        if (o.kind() == ObjectiveKind.DEADLINE && spec.jobClass().equals(o.jobClass())) {
          long left = (long) (spec.deadlineMicros() * o.times()) - age - run - TOLD_MICROS;
          if (left >= soonest || nowMicros + left >= at) {
            double haste = left > 0 ? policy.number(Policy.Name.HASTE) : 1;
            return nowMicros + Math.max((long) (left * haste), Math.min(left, soonest));
          }
        }
      }
      return nowMicros + policy.micros(Policy.Name.PATIENCE);
    }
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return nowMicros + policy.micros(Policy.Name.REPLICA_WAIT);
    }
    return nowMicros + Math.min(waitLeft(job), pipelineLeft(job, run, at));
  }

  /** How long a job's tasks may still wait by its class's aim, or by the policy. */
  private long waitLeft(Job job) {
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind() == ObjectiveKind.WAIT && job.spec().jobClass().equals(o.jobClass())) {
        return Math.max(0, o.withinMicros() - Math.max(0, wallMicros - job.readyMicros()));
      }
    }
    return policy.micros(Policy.Name.PATIENCE);
  }

  /** How long a job's tasks may still wait for its pipeline to be in time, if it can be. */
  private long pipelineLeft(Job job, long run, long at) {
    long latestEnd = placer.latestEndMicros(job);
    long left = latestEnd - wallMicros - run;
    long soonest = offers.soonest(job.spec());
    if (left < 0 || (left < soonest && nowMicros + left < at)) {
      return Long.MAX_VALUE / 4;
    }
    return Math.max((long) (left * policy.number(Policy.Name.HASTE)), Math.min(left, soonest));
  }

  private InstanceOfferings.InstanceOffering choose(
      JobSpec spec,
      Map<String, Integer> inZone,
      int count,
      Map<InstanceOfferings.InstanceOffering, Integer> asked,
      long latest,
      long otherwise) {
    return offers.choose(
        new InstanceOfferings.InstanceRequest(spec, inZone, count, latest, otherwise),
        asked,
        MAX_AT_ONCE * Math.max(1, (int) tokens.available(0, nowMicros)),
        inZones,
        policy.number(Policy.Name.DEAR),
        nowMicros);
  }

  private void countZones() {
    inZones.clear();
    workers.all().forEach(w -> inZones.merge(w.zone(), 1, Integer::sum));
  }

  /** Rents so many machines, with as many calls as that takes. */
  private void hire(InstanceOfferings.InstanceOffering offer, int number, int shard) {
    for (int rest = number; rest > 0; rest -= MAX_AT_ONCE) {
      hireAtOnce(offer, Math.min(rest, MAX_AT_ONCE), shard);
    }
  }

  private void hireAtOnce(InstanceOfferings.InstanceOffering offer, int number, int shard) {
    // Names never repeat: a lease's number belongs to one life of one controller.
    String name = settings.node() + "-" + membership.incarnation() + "-" + (++rentalCount);
    ScaleOutRequest rental = new ScaleOutRequest(name, offer, number, shard);
    rentals.add(rental);
    send(rental);
  }

  private void send(ScaleOutRequest r) {
    if (!tokens.tryAcquire(1, 0, nowMicros)) {
      rentals.remove(r);
      return;
    }
    r.tries++;
    LOG.info("rent {} {} for shard {}: {}", r.number, r.offer, r.shard, r.name);
    outbox.call(
        settings.cloudAddress(),
        "POST",
        "/rentals",
        Json.of(
            "hire", r.name,
            "hosttype", r.offer.type().name(),
            "glade", r.offer.zone,
            "loaners", r.offer.spot,
            "number", r.number),
        CALL_MICROS,
        reply -> hired(r, reply));
  }

  private void hired(ScaleOutRequest r, Outbox.Reply reply) {
    if (reply.status() == 0 && r.tries < 4) {
      // Perhaps rented: the same name brings the same machines and rents nothing more.
      tokens.forceAcquire(1, nowMicros);
      r.tries++;
      outbox.call(
          settings.cloudAddress(),
          "POST",
          "/rentals",
          Json.of(
              "hire", r.name,
              "hosttype", r.offer.type().name(),
              "glade", r.offer.zone,
              "loaners", r.offer.spot,
              "number", r.number),
          CALL_MICROS,
          again -> hired(r, again));
      return;
    }
    rentals.remove(r);
    List<String> hosts = Json.texts(reply.object(), "hosts");
    if (reply.status() != 200 || hosts.size() < r.number) {
      boolean none = reply.status() == 503 && !"trouble".equals(Json.text(reply.object(), "error"));
      offers.refused(r.offer, !none, nowMicros);
      LOG.info("rent {}: {} with {} of {}", r.name, reply.status(), hosts.size(), r.number);
      // The next best offer is tried at once.
      nextStepMicros = 0;
      nextRentMicros = Math.min(nextRentMicros, nowMicros + (long) (STEP_MICROS * (slower - 1)));
      nextPlanMicros = Math.min(nextPlanMicros, nowMicros + (long) (STEP_MICROS * slower / 2));
    } else {
      offers.filled(r.offer);
    }
    long[] cpus = shardCpus();
    for (String host : hosts) {
      int shard = r.offer.type().gpus() > 0 ? r.shard : least(cpus);
      cpus[shard] += r.offer.type().cpus();
      enter(host, r.shard, shard, r.offer.type().name(), r.offer.zone, r.offer.spot);
    }
  }

  /** The CPUs of each shard's machines, there or coming. */
  private long[] shardCpus() {
    long[] cpus = new long[membership.shardCount()];
    for (Worker w : workers.all()) {
      MachineType type = type(w.type());
      if (w.registered() && !w.terminating() && type != null && type.gpus() == 0) {
        cpus[w.shard()] += type.cpus();
      }
    }
    return cpus;
  }

  /**
   * The shard with the fewest, of those with a live owner: tasks are split evenly over shards, so
   * machines are too, whoever rented them. What is uneven has to be claimed, task by task.
   */
  private int least(long[] cpus) {
    int least = membership.homeShard();
    for (int shard = 0; shard < cpus.length; shard++) {
      if (membership.liveOwner(shard) != null && cpus[shard] < cpus[least]) {
        least = shard;
      }
    }
    return least;
  }

  /** Enters a machine for a shard; written by the owner of another, perhaps. */
  private void enter(String host, int by, int shard, String type, String zone, boolean spot) {
    if (!adopting.add(host)) {
      return;
    }
    edit(
        host,
        by,
        null,
        WorkerRecordCodec.encode(new WorkerRecord(shard, type, zone, spot, wallMicros, false)),
        done -> {
          adopting.remove(host);
          scheduler.requestScheduling();
        });
  }

  private void edit(String host, int shard, String from, String to, MutationCallback then) {
    recordWriter.submit(
        new FieldMutation(
            shard, WorkerRecordCodec.key(host), WorkerRecordCodec.field(host), from, to, then));
  }

  /** A machine that reports and that nobody has entered. */
  public void registerUnknownWorker(Heartbeat report) {
    int shard = membership.homeShard();
    if (membership.permits(ControlAction.SCALE_OUT, shard) && !workers.wasReleased(report.host())) {
      LOG.info("adopt {} for shard {}", report.host(), shard);
      enter(report.host(), shard, shard, report.type(), report.zone(), report.spot());
    }
  }

  /** Reads the cloud's list for machines that nobody has entered and for failed ones. */
  private void list(String from) {
    if (!tokens.tryAcquire(1, 1, nowMicros)) {
      return;
    }
    listing = true;
    String after = from.isEmpty() ? "" : "from=" + from + "&";
    outbox.call(
        settings.cloudAddress(),
        "GET",
        "/rentals?" + after + "most=500",
        null,
        CALL_MICROS,
        reply -> {
          listing = false;
          if (reply.status() != 200) {
            return;
          }
          String last = from;
          for (Map<String, Object> m : Json.objects(reply.object(), "hosts")) {
            last = Json.text(m, "id");
            listed(m);
          }
          if (Json.flag(reply.object(), "more")) {
            list(last);
          } else {
            strangers.values().removeIf(at -> nowMicros - at > 6 * LIST_MICROS);
          }
        });
  }

  private void listed(Map<String, Object> m) {
    String host = Json.text(m, "id");
    Worker w = workers.get(host);
    if (w != null && w.registered()) {
      strangers.remove(host);
      w.setListedEndpoint(Json.text(m, "endpoint"));
      boolean failed = "failed".equals(Json.text(m, "phase"));
      if (failed && !w.releasing() && membership.permits(ControlAction.SCALE_IN, w.shard())) {
        releases.release(w, "failed");
      }
      return;
    }
    if (workers.wasReleased(host)) {
      return;
    }
    // Lists lag: what was just rented or just released looks the same as an orphan for a while.
    long since = strangers.computeIfAbsent(host, h -> nowMicros);
    int shard = membership.homeShard();
    if (nowMicros - since > 4 * settings.cloudLimits().listLagMicros() + LIST_MICROS
        && Math.floorMod(host.hashCode(), membership.shardCount()) == shard
        && membership.permits(ControlAction.SCALE_OUT, shard)) {
      LOG.info("adopt {} for shard {}: listed, and nobody has entered it", host, shard);
      enter(
          host,
          shard,
          shard,
          Json.text(m, "hosttype"),
          Json.text(m, "glade"),
          Json.flag(m, "loaners"));
    }
  }
}
