package gladeknot.app;

import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ConnectivityMonitor;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.connectivity.HeartbeatObserver;
import gladeknot.fleet.Fleet;
import gladeknot.fleet.InstanceCatalog;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobArchiver;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobRequestHandler;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.policy.Policy;
import gladeknot.quota.QuotaAllocator;
import gladeknot.scheduling.HomeShardSelector;
import gladeknot.scheduling.Scheduler;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.HeartbeatHandler;
import gladeknot.workers.WorkerRegistry;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Constructs the components of a controller and connects them, from the lowest package to the
 * highest.
 *
 * <p>A lower component that notifies a higher one is constructed before it, and therefore gets an
 * adapter. The adapter looks the higher component up here on each call; no call comes before the
 * first tick.
 */
final class ControllerComponents {
  final Outbox outbox;
  final WorkerRegistry workers = new WorkerRegistry();
  final InstanceCatalog catalog = new InstanceCatalog();

  /** Present if the feature {@code partial-cuts} is on. */
  final Optional<ConnectivityMonitor> connectivity;

  final StateStore stateStore;
  final Membership membership;
  final JobRegistry jobs;
  final SliceRegistry slices;
  final TransactionCommitter committer;
  final TaskLifecycle lifecycle;
  final QuotaAllocator quota;
  final Scheduler scheduler;
  final Fleet fleet;
  final HomeShardSelector homeShards;
  final JobRequestHandler jobRequests;
  final JobArchiver archiver;
  final HeartbeatHandler heartbeats;

  /** Creates components that work with the given number of shards and share the outbox. */
  ControllerComponents(
      Settings settings,
      int shardCount,
      Outbox outbox,
      Features features,
      Policy policy,
      RandomGenerator random,
      TaskTracer tracer) {
    this.outbox = outbox;
    connectivity =
        features.partialCuts().map(feature -> new ConnectivityMonitor(settings, feature, outbox));
    stateStore =
        new StateStore(
            settings, outbox, random, new JobCacheFilter(this), new StateChangeDispatcher(this));
    membership = newMembership(settings, shardCount, policy);
    jobs = new JobRegistry(this::onJobChange);
    slices = newSlices();
    committer = new TransactionCommitter(stateStore, membership, jobs, slices, tracer);
    lifecycle = newLifecycle(settings, tracer);
    quota = new QuotaAllocator(settings, stateStore, membership, slices, committer, outbox);
    scheduler = newScheduler(settings, policy);
    fleet = newFleet(settings, policy);
    homeShards = new HomeShardSelector(settings, membership, jobs, workers, catalog::type);
    jobRequests = newJobRequests(settings, tracer);
    archiver = new JobArchiver(stateStore, membership, jobs);
    heartbeats = newHeartbeats(settings);
    committer.setListener(this::onCommit);
    committer.useAdmission(quota.admission());
    lifecycle.useRestartLimit(quota::withholdsRestart);
  }

  private Membership newMembership(Settings settings, int shardCount, Policy policy) {
    Membership created =
        new Membership(
            settings,
            shardCount,
            policy,
            stateStore,
            connectivity
                .<Authority.StateLink>map(monitor -> monitor)
                .orElse(Authority.StateLink.TRUSTED),
            connectivity.<FailoverAdvisor>map(monitor -> monitor).orElse(FailoverAdvisor.NONE),
            new ShardOwnershipListener(this));
    connectivity.ifPresent(
        monitor -> monitor.attach(new CachedShardView(created, workers), created.authority()));
    return created;
  }

  private SliceRegistry newSlices() {
    return new SliceRegistry(
        membership.shardCount(), membership.format()::segmentSplit, stateStore, workers);
  }

  private TaskLifecycle newLifecycle(Settings settings, TaskTracer tracer) {
    return new TaskLifecycle(
        settings,
        membership,
        jobs,
        slices,
        workers,
        committer,
        outbox,
        catalog::cacheGb,
        catalog::onRefused,
        tracer);
  }

  private Scheduler newScheduler(Settings settings, Policy policy) {
    return new Scheduler(
        settings,
        policy,
        membership,
        jobs,
        slices,
        workers,
        committer,
        quota,
        lifecycle,
        catalog::type,
        catalog::zones);
  }

  private Fleet newFleet(Settings settings, Policy policy) {
    return new Fleet(
        settings,
        policy,
        stateStore,
        membership,
        workers,
        committer,
        lifecycle,
        outbox,
        catalog,
        new FleetSchedulerView(scheduler));
  }

  private JobRequestHandler newJobRequests(Settings settings, TaskTracer tracer) {
    return new JobRequestHandler(
        settings, stateStore, jobs, outbox, tracer, new JobClusterView(this, settings.node()));
  }

  private HeartbeatHandler newHeartbeats(Settings settings) {
    return new HeartbeatHandler(
        settings,
        stateStore,
        membership,
        workers,
        outbox,
        connectivity.<HeartbeatObserver>map(monitor -> monitor).orElse(HeartbeatObserver.NONE),
        new ReconcilerAdapter(this));
  }

  private void onCommit() {
    lifecycle.requestScheduling();
    heartbeats.release();
  }

  private void onJobChange(Job before, Job after) {
    if (before == null && after == null) {
      return;
    }
    lifecycle.onJobChange(before, after);
    if (before == null && after.active()) {
      fleet.onJobArrival(after);
    }
  }
}
