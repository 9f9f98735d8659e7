package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.HeartbeatObserver;
import gladeknot.json.Json;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.workers.HeartbeatAnswers.Refusal;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Admits the workers' heartbeats and answers them. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Brings what heartbeats list together with what the records say. */
  public interface Reconciler {
    /** The commands that follow from a heartbeat that has just been admitted, or was held. */
    List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat);

    /**
     * Has starts decided, now or soon; returns the number of the scheduling round that takes the
     * newest heartbeats into account.
     */
    long requestScheduling();

    /** How many scheduling rounds there have been. */
    long completedRounds();

    /** A worker has restarted: what its status does not list is no longer on it. */
    void onWorkerRestart(Worker worker, Heartbeat status);

    /** Whether nothing on a worker is about to end or to start, as far as is known. */
    boolean isSteady(Worker worker);

    /** Whether tasks wait for quota that an end on a worker makes free once it is committed. */
    boolean awaitsEnd(Worker worker);

    /** Kills for the listed tasks whose jobs are finished by the cached state. */
    List<WorkerCommand> killsForFinishedJobs(Heartbeat heartbeat);

    /** Registers a machine that the cached state does not have. */
    void registerUnknownWorker(Heartbeat heartbeat);
  }

  private final StateStore stateStore;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final HeartbeatObserver observer;
  private final Reconciler reconciler;
  private final HeartbeatAnswers answers;
  private final LongPolls longPolls;
  private final RemoteHeartbeats remoteHeartbeats;
  private final RestartProbe restartProbe;
  private long nowMicros;

  /** A handler that answers through the outbox. */
  public HeartbeatHandler(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      WorkerRegistry workers,
      Outbox outbox,
      HeartbeatObserver observer,
      Reconciler reconciler) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.workers = workers;
    this.observer = observer;
    this.reconciler = reconciler;
    answers = new HeartbeatAnswers(membership, outbox, observer);
    longPolls = new LongPolls(settings, membership, reconciler, answers);
    remoteHeartbeats =
        new RemoteHeartbeats(stateStore, membership, reconciler, answers, this::admit);
    restartProbe = new RestartProbe(membership, outbox, reconciler);
  }

  /** Sets the time, and answers held heartbeats that can't wait any longer. */
  public void tick(long now) {
    nowMicros = now;
    remoteHeartbeats.tick(now);
    longPolls.tick(now);
  }

  /** Answers heartbeats that were held for a commit, which has ended. */
  public void release() {
    longPolls.release();
  }

  /** POST /hello. */
  public void handle(long request, byte[] body) {
    Heartbeat heartbeat;
    try {
      heartbeat = HeartbeatCodec.read(Json.object(body));
    } catch (IOException e) {
      answers.malformed(request, "body: not a JSON object");
      return;
    } catch (MalformedHeartbeatException e) {
      answers.malformed(request, e.getMessage());
      return;
    }
    admit(request, heartbeat);
  }

  private void admit(long request, Heartbeat heartbeat) {
    if (!stateStore.loaded() || !membership.mayAct()) {
      answers.refuse(request, Refusal.NOT_ENTITLED);
      return;
    }
    Worker worker = workers.get(heartbeat.host());
    if (worker == null || !worker.registered()) {
      // Launched by a request whose answer was lost, or the cached state lags.
      reconciler.registerUnknownWorker(heartbeat);
      answers.refuse(request, Refusal.UNKNOWN_WORKER);
      return;
    }
    int shard = worker.shard();
    if (membership.permits(ControlAction.RENEW_LEASE, shard)) {
      admitOwned(request, worker, heartbeat);
    } else {
      observer.onHeartbeat(arrival(heartbeat, shard, false));
      remoteHeartbeats.answer(request, heartbeat, shard);
    }
  }

  /** Admits a heartbeat of a worker of an owned shard, unless it is to be refused. */
  private void admitOwned(long request, Worker worker, Heartbeat heartbeat) {
    int shard = worker.shard();
    long term = membership.term(shard);
    if (heartbeat.fencingToken() > term) {
      LOG.info(
          "term raise requested shard={} worker={} token={} term={}",
          shard,
          heartbeat.host(),
          heartbeat.fencingToken(),
          term);
      membership.raiseTerm(shard);
      answers.refuse(request, Refusal.TERM_BEING_RAISED);
      return;
    }
    Heartbeat last = worker.heartbeat();
    if (last != null && !heartbeat.isNewerThan(last.incarnation(), last.sequence())) {
      // A delayed copy, which no longer holds; or the machine has restarted.
      restartProbe.probe(worker, heartbeat.endpoint(), nowMicros);
      answers.refuse(request, Refusal.OUT_OF_ORDER);
      return;
    }
    HeartbeatObserver.Arrival arrival = arrival(heartbeat, shard, true);
    String otherNode = observer.redirect(arrival, heartbeat.tasks().isEmpty());
    if (otherNode != null) {
      answers.redirect(request, otherNode);
      return;
    }
    worker.onHeartbeat(heartbeat, nowMicros);
    observer.onHeartbeat(arrival);
    reconcile(request, worker, heartbeat);
  }

  private void reconcile(long request, Worker worker, Heartbeat heartbeat) {
    List<WorkerCommand> commands = reconciler.reconcile(worker, heartbeat);
    boolean steady = commands.isEmpty() && reconciler.isSteady(worker);
    if (!longPolls.hold(request, worker, heartbeat, steady)) {
      answers.accept(request, worker, commands, nowMicros);
    }
  }

  private static HeartbeatObserver.Arrival arrival(Heartbeat heartbeat, int shard, boolean owned) {
    return new HeartbeatObserver.Arrival(
        heartbeat.host(),
        heartbeat.zone(),
        shard,
        owned,
        heartbeat.incarnation(),
        heartbeat.sequence());
  }
}
