package gladeknot.standin;

import gladeknot.app.Controller;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.standin.DirectionalCuts.Way;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Controllers, state service, cloud and workers in one thread under simulated time, with faults on
 * command. Every step checks the rules that the protocol's last page lists.
 */
public final class SimulatedCluster {
  public static final long SECOND = 1_000_000;
  private static final long STEP = 10_000;
  private static final long REPORT = SECOND;
  public static final long LEASE = 8 * SECOND;
  public static final long CANCEL = 25 * SECOND;
  public static final long TEAM_CPUS = 24_000;

  /** How large a world is: its machines, the team's limit, what the state service takes. */
  public record Scale(
      int machines,
      long teamCpus,
      double stateRps,
      double writeRps,
      int valueBytes,
      int nextValueBytes,
      int nextOperations) {
    public Scale(int machines, long teamCpus, double stateRps, double writeRps, int valueBytes) {
      this(machines, teamCpus, stateRps, writeRps, valueBytes, valueBytes, OPERATIONS);
    }

    public Scale(int machines, long teamCpus, double stateRps, double writeRps) {
      this(machines, teamCpus, stateRps, writeRps, 8192);
    }
  }

  private static final int OPERATIONS = 16;

  public static final Scale SMALL = new Scale(12, TEAM_CPUS, 300, 150);

  private record Event(long at, long order, Runnable run) {}

  private static final class Node {
    Controller core;
    boolean up;
    boolean paused;
    boolean cutFromState;
    boolean cutFromWorkers;
    boolean cutFromPeers;
    boolean refused;
    boolean watchHangs;
    boolean appearsOld;
    long life;
    final Map<Long, java.util.function.Consumer<Outbox.Answer>> asked = new HashMap<>();
    long nextRequest = 1;
  }

  private static final class Machine {
    FakeWorker worker;
    int node;
    long nextReport;
    boolean dead;
    boolean deaf;
    boolean mute;
    boolean hung;
    boolean waiting;
    int startsSeen;

    /** Commands that came while it hung: carried out when it goes on. */
    final List<Map<String, Object>> heldOrders = new ArrayList<>();
  }

  /** A job as its user knows it. */
  private static final class Known {
    int tasks;
    boolean gang;
    boolean scatter;
    boolean together;
    String zone;
    long answeredAt;
    long waitingSince = -1;
    long withdrawnAt = -1;
    String last = "";
    final Set<Integer> done = new HashSet<>();
  }

  public final FakeStateStore state = new FakeStateStore();
  public final FakeCloud cloud;
  private final Scale scale;
  private final int count;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Machine> machines = new TreeMap<>();
  private final Map<String, Known> known = new TreeMap<>();
  private final PipelineRules pipelines = new PipelineRules();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Set<String> broken = new java.util.TreeSet<>();
  private final SplittableRandom random;
  private long now = 100 * SECOND;
  private long order;
  private boolean outage;

  /** Single directions that are cut. */
  public final DirectionalCuts cuts = new DirectionalCuts();

  private final Features features;
  private final Map<Integer, Features> ownFeatures = new HashMap<>();
  private final List<FakeCloud.Machine> booting = new ArrayList<>();
  private long seenCloudChanges = -1;
  private final Set<String> enteredBefore = new HashSet<>();
  private final Set<String> givenBack = new HashSet<>();

  /** Whether copies of reports come late, to any controller. */
  public boolean copies;

  /** Commits whose answer is to be lost, and how much later they are to be applied. */
  public int loseAnswers;

  public long applyLate;

  /** The share of transactions without an answer that are carried out 2 to 12 s later. */
  public double lateWrites;

  /** What answers to workers and direct commands take on their way. */
  public long commandDelay;

  /** What records between controllers take longer; they may overtake one another. */
  public long peerDelay;

  /** What each call to the state service takes longer. */
  public long stateDelay;

  private boolean watching;
  private int startsSeen;

  /** Null unless fingerprints are recorded. */
  private final BehaviourFingerprint fingerprint;

  private final Map<Integer, Long> lastOrderMicros = new HashMap<>();
  private long peerBytes;
  private long stateCalls;
  private long calmSince = -1;
  private String cutZone = "";
  private int cutZoneNode = -1;
  private final List<Map<String, Object>> captured = new ArrayList<>();
  private final Map<String, Set<Integer>> reach = new HashMap<>();
  private String heldWrite = "";
  private long heldMicros;

  /** A start that a controller sent before it could know of a cancellation is this old at most. */
  private static final long START_GRACE = 7 * SECOND;

  private static final long FORGOTTEN = 75 * SECOND;
  private static final long LEFT_WAITING = 90 * SECOND;
  private static final long MACHINE_CPUS = 4;

  /** How long tasks run that end by themselves. */
  public long taskMicros = 6 * SECOND;

  public SimulatedCluster(int count, long seed) {
    this(count, seed, SMALL);
  }

  /** A cluster of so many controllers, all just started. */
  public SimulatedCluster(int count, long seed, Scale scale) {
    this(count, seed, scale, Features.NONE);
  }

  /** The same with features turned on. */
  public SimulatedCluster(int count, long seed, Scale scale, Features features) {
    this.features = features;
    this.fingerprint = FingerprintRecorder.enabled() ? new BehaviourFingerprint() : null;
    if (fingerprint != null) {
      FingerprintRecorder.add(() -> fingerprint.line(state));
    }
    random = new SplittableRandom(seed);
    this.scale = scale;
    state.mostValueBytes = scale.valueBytes();
    this.count = count;
    cloud = new FakeCloud(scale.machines(), 3 * SECOND);
    for (int i = 0; i < count; i++) {
      nodes.add(new Node());
      start(i);
    }
  }

  /** The settings of one of so many controllers. */
  public static Settings settings(int node, int count, Scale scale) {
    List<Settings.Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      if (i != node) {
        members.add(new Settings.Member("node-" + i, "a", "10.0.0." + i + ":1"));
      }
    }
    return new Settings(
        "node-" + node,
        "a",
        "10.0.0." + node + ":80",
        "10.0.0." + node + ":1",
        members,
        "cloud:1",
        "state:1",
        List.of("a", "b"),
        0,
        Map.of("dev", new Settings.Team("dev", scale.teamCpus() / 3, scale.teamCpus(), 0, 0)),
        List.of(
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.9, 1),
            new Settings.Objective(ObjectiveKind.DEADLINE, "batch", 0, 0.95, 1.5),
            new Settings.Objective(ObjectiveKind.WAIT, "scan", 5 * SECOND, 0.9, 0)),
        new Settings.Workers(REPORT, LEASE, 30 * SECOND, 5 * SECOND, CANCEL),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.valueBytes(), OPERATIONS),
        new Settings.StateLimits(
            scale.stateRps(), scale.writeRps(), scale.nextValueBytes(), scale.nextOperations()),
        new Settings.CloudLimits(20, 3 * SECOND),
        500);
  }

  /** Starts a controller that knows nothing of its former life. */
  public void start(int i) {
    Node n = nodes.get(i);
    n.core =
        new Controller(
            settings(i, count, scale),
            ownFeatures.getOrDefault(i, features),
            Policy.of(""),
            random.split());
    n.up = true;
    n.paused = false;
    n.life++;
    n.asked.clear();
  }

  /** Gives one controller features of its own, from its next start on. */
  public void features(int i, Features own) {
    ownFeatures.put(i, own);
  }

  /** Ends a controller; what it has sent may still arrive. */
  public void kill(int i) {
    nodes.get(i).up = false;
    nodes.get(i).life++;
  }

  /** The state service has its lower limits from now on. */
  public void lowerLimits() {
    state.mostValueBytes = scale.nextValueBytes();
    state.mostChanges = scale.nextOperations();
  }

  /** Lets the others take a controller for one of the first version, or not any more. */
  public void appearsOld(int i, boolean old) {
    nodes.get(i).appearsOld = old;
  }

  public void pause(int i, boolean paused) {
    nodes.get(i).paused = paused;
  }

  public void cutFromState(int i, boolean cut) {
    nodes.get(i).cutFromState = cut;
  }

  public void cutFromWorkers(int i, boolean cut) {
    nodes.get(i).cutFromWorkers = cut;
  }

  /** Begins or ends an outage of the state service. */
  public void outage(boolean on) {
    outage = on;
    if (!on) {
      state.renewAll();
    }
  }

  /**
   * The state service answers one controller with 503 alone; its watches hang, its leases go on.
   */
  public void refuse(int i, boolean on) {
    nodes.get(i).refused = on;
  }

  /** A machine reaches no controller, while commands reach it. */
  public void mute(int nth, boolean on) {
    machine(nth).mute = on;
  }

  /** A machine stands still; what comes meanwhile is carried out when it goes on. */
  public void hang(int nth, boolean on) {
    Machine m = machine(nth);
    m.hung = on;
    if (!on) {
      m.worker.advance(now);
      m.heldOrders.forEach(m.worker::orders);
      m.heldOrders.clear();
    }
  }

  private Machine machine(int nth) {
    List<Machine> all = machines.values().stream().filter(m -> !m.dead).toList();
    return all.get(nth % all.size());
  }

  /** A zone is cut off with one controller in it; -1 for none. */
  public void cutZone(String zone, int node) {
    cutZone = zone;
    cutZoneNode = node;
    cutFromState(node, true);
    cutFromPeers(node, true);
  }

  /** Ends the cut of a zone. */
  public void joinZone() {
    cutFromState(cutZoneNode, false);
    cutFromPeers(cutZoneNode, false);
    cutZone = "";
    cutZoneNode = -1;
  }

  /** The machines of a zone and these controllers reach one another, and no others. */
  public void partition(String zone, Set<Integer> with) {
    reach.put(zone, with);
  }

  public void heal() {
    reach.clear();
  }

  /** The next transaction that changes such a key gets no answer and is carried out later. */
  public void holdNext(String key, long micros) {
    heldWrite = key;
    heldMicros = micros;
  }

  /** A controller's watches tell nothing, all else is served. */
  public void hangWatch(int i, boolean on) {
    nodes.get(i).watchHangs = on;
  }

  private boolean linked(int node, Machine m) {
    Set<Integer> with = reach.get(m.worker.zone());
    if (nodes.get(node).cutFromWorkers || (with != null && !with.contains(node))) {
      return false;
    }
    return cutZone.isEmpty() || cutZone.equals(m.worker.zone()) == (node == cutZoneNode);
  }

  /** Keeps a copy of what each machine would report now. */
  public void captureReports() {
    machines.values().stream().filter(m -> !m.dead).forEach(m -> captured.add(m.worker.report()));
  }

  /** Brings the kept copies to a controller. */
  public void deliverReports(int node) {
    for (Map<String, Object> report : captured) {
      ask(node, "POST", "/hello", report, answer -> {});
    }
  }

  /** From now on users ask about each job every few seconds, at a controller that is up. */
  public void watch() {
    watching = true;
  }

  /** All troubles are over: from now on nothing may be forgotten or left waiting. */
  public void calm() {
    calmSince = now;
  }

  /** Makes a machine run a task that no controller asked for; for tests of the checker. */
  public void impose(int nth, String task) {
    Map<String, Object> run =
        Json.of("verb", "run", "strand", task, "try", 1_000_000L + random.nextInt(1000));
    Machine m = machine(nth);
    m.worker.answered(Json.of("fence", 1L << 40, "orders", List.of(run)), now, m.worker.tenure());
  }

  /** Keeps a machine's lease alive without any controller; for tests of the checker. */
  public void renew(int nth) {
    Machine m = machine(nth);
    m.worker.answered(Json.of("fence", 1L << 40, "orders", List.of()), now, m.worker.tenure());
  }

  /** A submission that must not be accepted. */
  public void refused(int node, Map<String, Object> job, int status) {
    ask(
        node,
        "POST",
        "/work",
        job,
        answer -> {
          if (answer.status() < 300) {
            broken.add("accepted: " + job);
          } else if (answer.status() != status && answer.status() != 503) {
            broken.add("refused with " + answer.status() + " for " + status + ": " + job);
          }
        });
  }

  /** Ends a machine with all that is on it. */
  public void killMachine(int nth) {
    List<Machine> all = machines.values().stream().filter(m -> !m.dead).toList();
    if (nth < all.size()) {
      all.get(nth).dead = true;
    }
  }

  /** The cloud gives notice of taking a machine back, and does so. */
  public void recall(String host, long noticeMicros) {
    machines.get(host).worker.recall(now + noticeMicros);
    later(noticeMicros, () -> cloud.take(host));
  }

  /** A machine's reports get through, but no answer and no command does. */
  public void deafen(int nth, boolean deaf) {
    List<Machine> all = List.copyOf(machines.values());
    if (nth < all.size()) {
      all.get(nth).deaf = deaf;
    }
  }

  /** The same for all the machines there are; those still to come hear. */
  public void deafenAll() {
    machines.values().forEach(m -> m.deaf = true);
  }

  /** A machine loses all that is on it and is back at once, counting from the start again. */
  public void reboot(int nth) {
    Machine m = machines.values().stream().filter(x -> !x.dead).skip(nth).findFirst().orElseThrow();
    FakeCloud.Machine of =
        cloud.machines().stream()
            .filter(c -> c.id.equals(m.worker.host()))
            .findFirst()
            .orElseThrow();
    m.worker = new FakeWorker(of, of.id + ":9", LEASE, this::runMicros, now);
    m.startsSeen = 0;
  }

  public int machineCount() {
    return (int) machines.values().stream().filter(m -> !m.dead).count();
  }

  /** Cuts a controller from all others. */
  public void cutFromPeers(int i, boolean cut) {
    nodes.get(i).cutFromPeers = cut;
  }

  public long now() {
    return now;
  }

  public List<String> broken() {
    return List.copyOf(broken);
  }

  private void later(long micros, Runnable run) {
    events.add(new Event(now + micros, order++, run));
  }

  /** Lets so much time pass, in small steps, and checks the rules. */
  public void run(long micros) {
    long until = now + micros;
    while (now < until) {
      now += STEP;
      if (!outage) {
        state.advance(now);
      }
      cloud.advance(now);
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().run().run();
      }
      for (int i = 0; i < nodes.size(); i++) {
        Node n = nodes.get(i);
        if (n.up && !n.paused) {
          n.core.tick(now, now);
          drain(i);
        }
      }
      machines();
      check();
      if (now % SECOND == 0) {
        ask();
        checkCalm();
      }
      if (now % (SECOND / 2) == 0) {
        checkMachines();
      }
    }
  }

  private void drain(int i) {
    Node n = nodes.get(i);
    for (Outbox.Call call : n.core.outbox().drainCalls()) {
      if (fingerprint != null) {
        fingerprint.call(now, i, call);
      }
      send(i, call);
    }
    for (PeerMessage message : n.core.outbox().drainPeerMessages()) {
      peerBytes += (long) message.encode().length * (nodes.size() - 1);
      if (fingerprint != null) {
        fingerprint.message(now, i, message);
      }
      for (int j = 0; j < nodes.size(); j++) {
        Node other = nodes.get(j);
        if (other != n && !n.cutFromPeers && !other.cutFromPeers && !cuts.peerLost(i, j)) {
          later(
              2_000 + peerDelay,
              () -> {
                if (other.up && !other.paused) {
                  other.core.onPeerMessage(message);
                }
              });
        }
      }
    }
    for (Outbox.Answer answer : n.core.outbox().drainAnswers()) {
      if (fingerprint != null) {
        fingerprint.answer(now, i, answer);
      }
      var then = n.asked.remove(answer.request());
      if (then != null) {
        then.accept(answer);
      }
    }
  }

  private void send(int i, Outbox.Call call) {
    Node n = nodes.get(i);
    long life = n.life;
    boolean toState = call.address().startsWith("state");
    stateCalls += toState ? 1 : 0;
    if (toState && cuts.refused(i)) {
      later(2_000, () -> reply(i, life, call, null));
      return;
    }
    if (toState && (n.cutFromState || cuts.lost(i, Way.STATE_REQUESTS))) {
      later(call.timeoutMicros(), () -> reply(i, life, call, null));
      return;
    }
    if (toState && call.path().startsWith("/follow")) {
      follow(i, life, call, now + call.timeoutMicros() - 4 * SECOND);
      return;
    }
    if (toState && n.refused) {
      later(2_000, () -> reply(i, life, call, new FakeStateStore.Answer(503, Json.of())));
      return;
    }
    boolean commit = call.path().equals("/commit");
    long delay = 2_000 + random.nextInt(15_000) + (toState ? stateDelay : 0);
    if (commit && lateWrites > 0 && random.nextDouble() < lateWrites) {
      later(2 * SECOND + random.nextLong(10 * SECOND), () -> serve(i, call));
      later(call.timeoutMicros(), () -> reply(i, life, call, null));
      return;
    }
    if (commit && !heldWrite.isEmpty() && new String(call.body()).contains(heldWrite)) {
      heldWrite = "";
      later(heldMicros, () -> serve(i, call));
      later(call.timeoutMicros(), () -> reply(i, life, call, null));
      return;
    }
    boolean command = call.path().equals("/orders") || call.path().equals("/status");
    delay += command ? commandDelay : 0;
    if (commit && loseAnswers > 0) {
      loseAnswers--;
      later(delay + applyLate, () -> serve(i, call));
      later(call.timeoutMicros(), () -> reply(i, life, call, null));
      return;
    }
    later(
        delay,
        () -> {
          FakeStateStore.Answer served = serve(i, call);
          FakeStateStore.Answer answer = answerLost(i, call) ? null : served;
          later(answer == null ? call.timeoutMicros() : 2_000, () -> reply(i, life, call, answer));
        });
  }

  private boolean answerLost(int i, Outbox.Call call) {
    if (call.address().startsWith("cloud")) {
      return false;
    }
    boolean toState = call.address().startsWith("state");
    return cuts.lost(i, toState ? Way.STATE_ANSWERS : Way.COMMAND_ANSWERS);
  }

  private void follow(int i, long life, Outbox.Call call, long until) {
    long from = Long.parseLong(FakeStateStore.query(call.path()).get("from"));
    boolean reachable =
        !outage
            && !nodes.get(i).cutFromState
            && !nodes.get(i).refused
            && !nodes.get(i).watchHangs
            && !cuts.lost(i, Way.STATE_ANSWERS);
    if (reachable && (state.changedSince(from) || now >= until)) {
      FakeStateStore.Answer answer = serve(i, call);
      later(3_000 + stateDelay, () -> reply(i, life, call, answer));
    } else if (now >= until + 4 * SECOND) {
      reply(i, life, call, null);
    } else {
      later(STEP, () -> follow(i, life, call, until));
    }
  }

  /** A transaction as a controller's version would send it; what others can't read is noted. */
  private byte[] checked(int i, byte[] body) throws IOException {
    Map<String, Object> transaction = Json.object(body);
    for (Map<String, Object> write : Json.objects(transaction, "writes")) {
      String key = Json.text(write, "write");
      if (key == null) {
        continue;
      }
      if (nodes.get(i).appearsOld && key.startsWith("g/alive/")) {
        Json.map(write.get("data")).remove("f");
      }
      boolean agreed = state.get("g/format") != null;
      if (!agreed && !FirstVersionRecords.reads(key, Json.map(write.get("data")))) {
        broken.add("unreadable for the first version: " + key);
      }
    }
    return Json.bytes(transaction);
  }

  private FakeStateStore.Answer serve(int i, Outbox.Call call) {
    try {
      if (call.address().startsWith("state")) {
        if (call.path().equals("/commit")) {
          return state.serve(call.method(), call.path(), checked(i, call.body()));
        }
        return outage
            ? new FakeStateStore.Answer(503, Json.of())
            : state.serve(call.method(), call.path(), call.body());
      }
      if (call.address().startsWith("cloud")) {
        return cloud.serve(call.method(), call.path(), call.body());
      }
      Machine m = machines.get(call.address().split(":")[0]);
      if (m == null || m.dead || m.deaf || !linked(i, m) || cuts.lost(i, Way.COMMANDS)) {
        return null;
      }
      if (m.hung) {
        if (call.path().equals("/orders")) {
          m.heldOrders.add(Json.object(call.body()));
        }
        return null;
      }
      return call.path().equals("/status")
          ? new FakeStateStore.Answer(200, m.worker.report())
          : m.worker.orders(Json.object(call.body()));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void reply(int i, long life, Outbox.Call call, FakeStateStore.Answer answer) {
    Node n = nodes.get(i);
    if (n.life != life || !n.up) {
      return;
    }
    if (n.paused) {
      later(STEP, () -> reply(i, life, call, answer));
      return;
    }
    n.core.tick(now, now);
    n.core
        .outbox()
        .reply(
            call.id(),
            answer == null
                ? new Outbox.Reply(0, new byte[0])
                : new Outbox.Reply(answer.status(), Json.bytes(answer.body())));
    drain(i);
  }

  /** Sends a request to a controller; no answer comes from one that is down. */
  public void ask(
      int i,
      String method,
      String path,
      Object body,
      java.util.function.Consumer<Outbox.Answer> then) {
    Node n = nodes.get(i);
    if (!n.up || n.paused) {
      return;
    }
    long id = n.nextRequest++;
    n.asked.put(id, then);
    n.core.tick(now, now);
    n.core.onRequest(id, method, path, body == null ? new byte[0] : Json.bytes(body));
    drain(i);
  }

  /** Machines that are to boot, and those that have been given back, go or come. */
  private void bootMachines() {
    if (seenCloudChanges != cloud.changes()) {
      seenCloudChanges = cloud.changes();
      booting.clear();
      Set<String> rented = new HashSet<>();
      for (FakeCloud.Machine m : cloud.machines()) {
        rented.add(m.id);
        if (!machines.containsKey(m.id)) {
          booting.add(m);
        }
      }
      machines.keySet().retainAll(rented);
    }
    for (FakeCloud.Machine m : List.copyOf(booting)) {
      if (m.upMicros <= now) {
        Machine machine = new Machine();
        machine.worker = new FakeWorker(m, m.id + ":9", LEASE, this::runMicros, now);
        machine.node = random.nextInt(nodes.size());
        machines.put(m.id, machine);
        booting.remove(m);
      }
    }
  }

  private void machines() {
    bootMachines();
    for (Machine m : machines.values()) {
      if (m.dead || m.hung) {
        continue;
      }
      m.worker.advance(now);
      if (now >= m.nextReport && !m.waiting) {
        m.nextReport = now + REPORT;
        report(m);
      }
    }
  }

  private void report(Machine m) {
    long sent = now;
    long tenure = m.worker.tenure();
    FakeWorker life = m.worker;
    Map<String, Object> report = m.worker.report();
    Node n = nodes.get(m.node);
    m.waiting = true;
    boolean[] over = {false};
    later(
        4 * SECOND,
        () -> {
          if (!over[0]) {
            over[0] = true;
            m.waiting = false;
            next(m);
          }
        });
    if (copies && random.nextInt(4) == 0) {
      int copyTo = random.nextInt(nodes.size());
      later(
          SECOND + random.nextLong(3 * LEASE),
          () -> ask(copyTo, "POST", "/hello", report, answer -> {}));
    }
    int to = m.node;
    if (!n.up || m.mute || !linked(to, m) || cuts.lost(to, Way.REPORTS)) {
      if (!n.up || m.mute) {
        over[0] = true;
        m.waiting = false;
        next(m);
      }
      return;
    }
    later(
        1_000,
        () ->
            ask(
                m.node,
                "POST",
                "/hello",
                report,
                answer -> {
                  later(
                      commandDelay,
                      () -> {
                        // What comes after the worker has given the request up is dropped.
                        boolean lost = cuts.lost(to, Way.REPORT_ANSWERS);
                        if (!over[0] && !m.deaf && !m.hung && m.worker == life && !lost) {
                          over[0] = true;
                          m.waiting = false;
                          noteOrders(to, answer);
                          answered(m, answer, sent, tenure);
                        }
                      });
                }));
  }

  /** Notes when a controller's orders to begin or stop something reached a worker last. */
  private void noteOrders(int node, Outbox.Answer answer) {
    try {
      List<Map<String, Object>> orders = Json.objects(Json.object(answer.body()), "orders");
      if (orders.stream().anyMatch(order -> !"reap".equals(order.get("verb")))) {
        lastOrderMicros.put(node, now);
      }
    } catch (IOException e) {
      broken.add("an answer to a worker is no JSON object");
    }
  }

  /** When an order of a controller to begin or stop something reached a worker last. */
  public long lastOrderMicros(int node) {
    return lastOrderMicros.getOrDefault(node, 0L);
  }

  private void next(Machine m) {
    m.node = (m.node + 1) % nodes.size();
    m.nextReport = now + SECOND;
  }

  private void answered(Machine m, Outbox.Answer answer, long sent, long tenure) {
    try {
      Map<String, Object> body = Json.object(answer.body());
      if (answer.status() == 200) {
        if (!m.dead) {
          m.worker.answered(body, sent, tenure);
        }
      } else if (answer.status() == 421 && Json.text(body, "foreman") != null) {
        int to = Integer.parseInt(Json.text(body, "foreman").substring("node-".length()));
        if (to == m.node) {
          next(m);
        } else {
          m.node = to;
          m.nextReport = now + 200_000;
        }
      } else {
        next(m);
      }
    } catch (IOException e) {
      broken.add("an answer to a worker is no JSON object");
    }
  }

  /** Submits a job over and over until it is accepted. */
  public void submit(int node, Map<String, Object> job) {
    String id = Json.text(job, "id");
    Known k = new Known();
    k.tasks = (int) Json.num(job, "strands", 0);
    k.gang = "ensemble".equals(job.get("shape"));
    k.scatter = Json.flag(job, "scatter");
    k.together = Json.flag(job, "together");
    k.zone = Json.text(job, "glade");
    known.put(id, k);
    pipelines.submitted(id, Json.texts(job, "waitsOn"));
    trySubmit(node, job, k);
  }

  private void trySubmit(int node, Map<String, Object> job, Known k) {
    ask(
        node,
        "POST",
        "/work",
        job,
        answer -> {
          if (answer.status() == 200 || answer.status() == 201) {
            k.last = k.last.isEmpty() ? "queued" : k.last;
          }
        });
    later(
        2 * SECOND,
        () -> {
          if (k.last.isEmpty()) {
            trySubmit((node + 1) % nodes.size(), job, k);
          }
        });
  }

  /** Lets the checker believe that a job was submitted behind another. */
  public void pretendWaits(String id, String need) {
    pipelines.submitted(id, List.of(need));
  }

  /** Cancels a job, over and over until that is answered. */
  public void abort(int node, String id) {
    Known k = known.get(id);
    pipelines.cancelAsked(id);
    ask(
        node,
        "POST",
        "/work/" + id + "/abort",
        null,
        answer -> {
          if (answer.status() == 200) {
            told(id, k, answer);
          }
        });
    later(
        2 * SECOND,
        () -> {
          if (!k.last.equals("withdrawn") && !k.last.equals("done")) {
            abort((node + 1) % nodes.size(), id);
          }
        });
  }

  /** Asks a controller about a job and checks what it says. */
  public void poll(int node, String id) {
    ask(
        node,
        "GET",
        "/work/" + id,
        null,
        answer -> {
          Known k = known.get(id);
          if (answer.status() == 200 && k != null) {
            k.answeredAt = now;
          }
          if (answer.status() == 200 && k == null) {
            broken.add("invented: " + id);
          } else if (answer.status() == 404 && k != null && !k.last.isEmpty()) {
            broken.add("forgotten: " + id);
          } else if (answer.status() == 200) {
            told(id, k, answer);
          }
        });
  }

  private void told(String id, Known k, Outbox.Answer answer) {
    try {
      String phase = Json.text(Json.object(answer.body()), "phase");
      if ((k.last.equals("done") || k.last.equals("withdrawn")) && !phase.equals(k.last)) {
        broken.add("went_back: " + id + " " + k.last + " then " + phase);
      }
      if (phase.equals("done") && k.done.size() < k.tasks) {
        broken.add("not_done: " + id + " with " + k.done.size() + " of " + k.tasks);
      }
      if (phase.equals("withdrawn") && k.withdrawnAt < 0) {
        k.withdrawnAt = now;
        pipelines.cancelTold(id, now);
      }
      if (phase.equals("withdrawn") && !pipelines.mayBeWithdrawn(id)) {
        broken.add("went_back: nobody cancelled " + id);
      }
      if ((phase.equals("queued") || phase.equals("running"))
          && pipelines.orphaned(id, now, CANCEL)) {
        broken.add("orphaned: " + id);
      }
      k.last = phase;
    } catch (IOException e) {
      broken.add("an answer to a user is no JSON object");
    }
  }

  /** A task of a job that is on another machine than the one given. */
  public int taskNotOn(int nth, String job) {
    Set<String> here = new HashSet<>();
    machine(nth).worker.live().forEach(t -> here.add(t.name));
    for (int i = 0; i < known.get(job).tasks; i++) {
      if (!here.contains(job + "/" + i)) {
        return i;
      }
    }
    throw new IllegalStateException("all of " + job + " is there");
  }

  /** How often shards have changed hands, or got a new term, since the beginning. */
  public long terms() {
    Map<String, Object> counter = state.get("g/term");
    return counter == null ? 0 : Json.num(counter, "n", 0);
  }

  /** How many starts machines have carried out since the beginning. */
  public int starts() {
    return startsSeen;
  }

  /** Bytes of records between controllers so far. */
  public long peerBytes() {
    return peerBytes;
  }

  /** Calls to the state service so far. */
  public long stateCalls() {
    return stateCalls;
  }

  /** Who owns a shard by its key. */
  public String owner(int shard) {
    return Json.text(state.get("g/shard/" + shard), "owner");
  }

  /** What a controller shows to operators. */
  public Map<String, Object> status(int i) {
    return nodes.get(i).core.status();
  }

  /** How many tasks are on machines. */
  public int tasksOnMachines() {
    int count = 0;
    for (Machine m : machines.values()) {
      count += m.dead ? 0 : m.worker.live().size();
    }
    return count;
  }

  /** All jobs that were submitted. */
  public Set<String> jobs() {
    return Set.copyOf(known.keySet());
  }

  /** How many of a job's tasks have completed. */
  public int doneTasks(String id) {
    return known.get(id).done.size();
  }

  public String phase(String id) {
    return known.get(id).last;
  }

  /** A machine that was given back is entered once more: somebody believed a late copy. */
  private void checkMachines() {
    Set<String> entered = new HashSet<>();
    for (String key : state.keys("g/w/")) {
      state
          .get(key)
          .forEach(
              (field, record) -> {
                if (!record.equals("-")) {
                  entered.add(key.substring("g/w/".length(), key.length() - 1) + field);
                }
              });
    }
    for (String host : entered) {
      if (givenBack.contains(host)) {
        broken.add("taken in again: " + host);
      }
    }
    for (String host : enteredBefore) {
      if (!entered.contains(host)) {
        givenBack.add(host);
      }
    }
    enteredBefore.clear();
    enteredBefore.addAll(entered);
  }

  /** The machines that a job's tasks are on. */
  public Set<String> hosts(String job) {
    Set<String> hosts = new java.util.TreeSet<>();
    for (Machine m : machines.values()) {
      if (m.worker.live().stream().anyMatch(t -> t.name.startsWith(job + "/"))) {
        hosts.add(m.worker.host());
      }
    }
    return hosts;
  }

  /** The machines that are rented. */
  public Set<String> rented() {
    Set<String> hosts = new HashSet<>();
    cloud.machines().forEach(m -> hosts.add(m.id));
    return hosts;
  }

  /** Where a job's tasks are now, by zone. */
  public Map<String, Integer> zones(String job) {
    Map<String, Integer> zones = new TreeMap<>();
    for (Machine m : machines.values()) {
      for (FakeWorker.Task t : m.worker.live()) {
        if (t.name.startsWith(job + "/")) {
          zones.merge(m.worker.zone(), 1, Integer::sum);
        }
      }
    }
    return zones;
  }

  private void check() {
    Map<String, String> on = new HashMap<>();
    int count = 0;
    for (Machine m : machines.values()) {
      m.worker.finished().forEach(this::finished);
      if (m.dead) {
        continue;
      }
      for (; m.startsSeen < m.worker.startCount(); m.startsSeen++) {
        startsSeen++;
        String task = m.worker.starts.get(m.startsSeen).split(" ")[0];
        Known k = known.get(task.substring(0, task.lastIndexOf('/')));
        if (k != null && k.withdrawnAt >= 0 && now - k.withdrawnAt > START_GRACE + commandDelay) {
          broken.add("started after its cancellation: " + task);
        }
        if (k != null && held(task.substring(0, task.lastIndexOf('/')))) {
          broken.add("too_early: " + task);
        }
      }
      if (m.hung && m.worker.lapsed(now)) {
        // It will drop them before anything else when it goes on.
        continue;
      }
      for (FakeWorker.Task t : m.worker.live()) {
        count++;
        String other = on.put(t.name, m.worker.host());
        if (other != null) {
          broken.add("ran_twice: " + t.name + " on " + other + " and " + m.worker.host());
        }
        Known k = known.get(t.name.substring(0, t.name.lastIndexOf('/')));
        if (k != null && k.withdrawnAt >= 0 && now - k.withdrawnAt > CANCEL) {
          broken.add("ran_cancelled: " + t.name);
        }
      }
    }
    if (overLimit(count)) {
      broken.add("quota: " + count + " CPUs");
    }
  }

  /** Whether so many one-CPU tasks are more than the team may run; a limit of 0 is none. */
  private boolean overLimit(long tasks) {
    return scale.teamCpus() > 0 && tasks * 1000 > scale.teamCpus();
  }

  /** Users' questions, as long as they ask. */
  private void ask() {
    if (!watching || now / SECOND % 5 != 0) {
      return;
    }
    List<Integer> up = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).up && !nodes.get(i).paused) {
        up.add(i);
      }
    }
    if (!up.isEmpty()) {
      known.keySet().forEach(id -> poll(up.get(random.nextInt(up.size())), id));
    }
  }

  /** Once all troubles are over: who is forgotten, and who waits while there is room. */
  private void checkCalm() {
    if (calmSince < 0) {
      return;
    }
    known.forEach(
        (id, k) -> {
          if (k.last.isEmpty()) {
            return;
          }
          if (watching && now - Math.max(k.answeredAt, calmSince) > FORGOTTEN) {
            broken.add("forgotten: nothing about " + id + " is answered");
          }
          if (k.last.equals("withdrawn") || held(id) || !couldStart(id, k)) {
            k.waitingSince = -1;
          } else if (k.waitingSince < 0) {
            k.waitingSince = now;
          } else if (now - k.waitingSince > LEFT_WAITING) {
            broken.add("left waiting: " + id);
          }
        });
  }

  /** Whether a task of a job, or a whole gang, waits though there is room for it. */
  private boolean couldStart(String id, Known k) {
    int live = 0;
    int all = 0;
    Map<String, Long> open = new TreeMap<>();
    Map<String, Long> mine = new TreeMap<>();
    for (Machine m : machines.values()) {
      List<FakeWorker.Task> tasks = m.dead ? List.of() : m.worker.live();
      long ofJob = tasks.stream().filter(t -> t.name.startsWith(id + "/")).count();
      live += (int) ofJob;
      all += tasks.size();
      mine.merge(m.worker.zone(), ofJob, Long::sum);
      if (!m.dead && !m.hung && !m.deaf && !m.mute) {
        open.merge(m.worker.zone(), MACHINE_CPUS - tasks.size(), Long::sum);
      }
    }
    int waiting = k.tasks - k.done.size() - live;
    long need = k.gang ? k.tasks : 1;
    if (waiting < need || overLimit(all + need)) {
      return false;
    }
    long sum = 0;
    for (Map.Entry<String, Long> zone : open.entrySet()) {
      boolean allowed = k.zone == null || k.zone.equals(zone.getKey());
      boolean spread = !k.scatter || mine.get(zone.getKey()) < (k.tasks + 1) / 2;
      if (allowed && spread) {
        sum = k.together ? Math.max(sum, zone.getValue()) : sum + zone.getValue();
      }
    }
    return sum >= need;
  }

  /** Whether a job that this one needs has tasks that have not completed. */
  private boolean held(String id) {
    return pipelines.waits(
        id,
        need -> known.containsKey(need) && known.get(need).done.size() >= known.get(need).tasks);
  }

  private void finished(String task) {
    int slash = task.lastIndexOf('/');
    Known k = known.get(task.substring(0, slash));
    if (k != null) {
      k.done.add(Integer.parseInt(task.substring(slash + 1)));
      for (int i = 0; k.gang && i < k.tasks; i++) {
        // A gang completes as one.
        k.done.add(i);
      }
    }
  }

  /** Replicas run until they are stopped, anything else for as long as this world says. */
  private long runMicros(String task) {
    if (task.startsWith("req-far")) {
      // Tasks of one job whose ends lie far apart.
      return (2 + 18L * Integer.parseInt(task.substring(task.lastIndexOf('/') + 1))) * SECOND;
    }
    boolean service =
        task.startsWith("req-web") || task.startsWith("req-gone") || task.startsWith("req-cut");
    return service ? Long.MAX_VALUE / 4 : taskMicros;
  }

  /** A job of one-CPU tasks that waits for others. */
  public static Map<String, Object> jobAfter(String id, int tasks, String... needs) {
    Map<String, Object> job = job(id, "array", tasks);
    job.put("waitsOn", List.of(needs));
    return job;
  }

  /** A job of one-CPU tasks. */
  public static Map<String, Object> job(String id, String shape, int tasks) {
    return Json.of(
        "id",
        id,
        "jobclass",
        "batch",
        "owner",
        "dev",
        "shape",
        shape,
        "rank",
        shape.equals("service") ? "prod" : "normal",
        "strands",
        tasks,
        "cores",
        1.0,
        "accelerators",
        0.0,
        "memoryGb",
        1.0,
        "bundle",
        "img",
        "sizeGb",
        0.5,
        "hosttypes",
        null,
        "glade",
        null,
        "together",
        shape.equals("ensemble"),
        "scatter",
        shape.equals("service"),
        "loaners",
        shape.equals("array"),
        "guessS",
        6.0,
        "snapshotS",
        0.0,
        "flushS",
        0.0,
        "dueS",
        shape.equals("array") ? 60.0 : null);
  }
}
