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

/** Admits and answers the workers' heartbeats. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Reconciles the tasks that heartbeats list with the stored records. */
  public interface Reconciler {
    /**
     * Returns the commands that follow from a heartbeat that was just admitted or was held until
     * now.
     */
    List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat);

    /**
     * Requests a scheduling round, which runs now or soon. Returns the number of the round that
     * takes the newest heartbeats into account.
     */
    long requestScheduling();

    /** Returns the number of completed scheduling rounds. */
    long completedRounds();

    /** Handles the restart of a worker. Tasks that its status does not list are no longer on it. */
    void onWorkerRestart(Worker worker, Heartbeat status);

    /** Returns whether no task on a worker is known to be about to end or to start. */
    boolean isSteady(Worker worker);

    /**
     * Returns whether tasks wait for quota that an end on a worker frees once the end is committed.
     */
    boolean awaitsEnd(Worker worker);

    /**
     * Returns kill commands for the listed tasks whose jobs are finished according to the cache.
     */
    List<WorkerCommand> killsForFinishedJobs(Heartbeat heartbeat);

    /** Registers a machine that the cache does not contain. */
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

  /** Creates a handler that answers through the outbox. */
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

  /** Sets the current time and answers held heartbeats that need not wait any longer. */
  public void tick(long currentMicros) {
    nowMicros = currentMicros;
    restartProbe.tick(currentMicros);
    remoteHeartbeats.tick(currentMicros);
    longPolls.tick(currentMicros);
  }

  /** Answers heartbeats that were held for a commit that has now ended. */
  public void release() {
    longPolls.release();
  }

  /** Handles a heartbeat, sent as {@code POST /hello}. */
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
      // Either the answer to the scale-out request was lost, or the cache lags.
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

  /** Admits a heartbeat of a worker of an owned shard, or refuses or redirects it. */
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
      // Either this is a delayed or duplicate heartbeat, or the machine has restarted.
      restartProbe.probe(worker, heartbeat.endpoint(), nowMicros);
      answers.refuse(request, Refusal.OUT_OF_ORDER);
      return;
    }
    if (last != null && RestartProbe.showsRestart(last, heartbeat)) {
      restartProbe.onRestart(worker);
      answers.refuse(request, Refusal.TERM_BEING_RAISED);
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
