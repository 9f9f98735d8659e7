package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Users on loopback that submit jobs at a fixed interval, poll them and cancel some. After each
 * response that accepts or cancels a job they may poll it and repeat its submission at all nodes.
 */
public final class LoopbackUsers implements Runnable {
  /** Generator of the jobs that the users submit. */
  public interface JobMix {
    /** Arrays of up to four tasks of one CPU. */
    JobMix SMALL_ARRAYS = (id, random) -> TestJobs.job(id, "array", 1 + random.nextInt(MAX_TASKS));

    /** Returns the next job in the form of a submission. */
    Map<String, Object> next(String id, SplittableRandom random);
  }

  private static final int MAX_TASKS = 4;

  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration ALL_NODES_CHECK_TIMEOUT = Duration.ofMillis(700);
  private static final long SUBMIT_DEADLINE_MICROS = 30_000_000;
  private static final int CANCEL_ONE_IN = 6;
  private static final int RETRY_INTERVAL_MILLIS = 300;

  private final List<String> nodes;
  private final History history;
  private final SplittableRandom random;
  private final long submitIntervalMillis;
  private final String idPrefix;
  private final JobMix mix;
  private final boolean checksAllNodes;
  private final Map<String, Map<String, Object>> submissions = new HashMap<>();
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final ArrayDeque<String> pollQueue = new ArrayDeque<>();
  private volatile boolean stopped;
  private int next;

  /** Creates users that submit one job per {@code submitIntervalMillis}. */
  public LoopbackUsers(List<String> nodes, History history, long seed, long submitIntervalMillis) {
    this(nodes, history, seed, submitIntervalMillis, "users", JobMix.SMALL_ARRAYS, false);
  }

  /**
   * Creates users with the given job mix. With {@code checksAllNodes} they check each job that was
   * accepted or cancelled at all nodes.
   */
  public LoopbackUsers(
      List<String> nodes,
      History history,
      long seed,
      long submitIntervalMillis,
      String groupName,
      JobMix mix,
      boolean checksAllNodes) {
    this.nodes = nodes;
    this.history = history;
    this.random = new SplittableRandom(seed);
    this.submitIntervalMillis = submitIntervalMillis;
    this.idPrefix = "req-" + groupName;
    this.mix = mix;
    this.checksAllNodes = checksAllNodes;
  }

  /** Stops submitting jobs. */
  public void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      submit(idPrefix + next++);
      LoopbackServices.pause(submitIntervalMillis);
      poll(pollQueue.poll());
      poll(pollQueue.poll());
    }
  }

  private String node() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void submit(String job) {
    Map<String, Object> spec = mix.next(job, random);
    submissions.put(job, spec);
    history.submitted(
        job,
        (int) Json.longValue(spec, "strands", 0),
        Json.text(spec, "owner"),
        ResourceUse.ofTask(spec));
    if ("ensemble".equals(spec.get("shape"))) {
      history.submittedAsGang(job);
    }
    submitUntilAccepted(job);
    pollQueue.add(job);
    if (random.nextInt(CANCEL_ONE_IN) == 0) {
      cancel(job);
    }
  }

  /** Submits a job until it is accepted or 30 s have passed; returns whether it was accepted. */
  public boolean submitUntilAccepted(String job) {
    byte[] body = Json.bytes(submissions.get(job));
    long deadlineMicros = LoopbackServices.now() + SUBMIT_DEADLINE_MICROS;
    while (LoopbackServices.now() < deadlineMicros) {
      if (recordResponse(job, send(node(), "POST", "/work", body, SUBMIT_TIMEOUT))) {
        checkAllNodes(job);
        return true;
      }
      LoopbackServices.pause(RETRY_INTERVAL_MILLIS);
    }
    return false;
  }

  /** Requests a job's cancellation once; returns whether the response had a phase. */
  public boolean cancel(String job) {
    boolean answered =
        recordResponse(
            job, send(node(), "POST", "/work/" + job + "/abort", new byte[0], SUBMIT_TIMEOUT));
    if (answered) {
      checkAllNodes(job);
    }
    return answered;
  }

  /** Polls a job and repeats its submission at all nodes, if these users check all nodes. */
  private void checkAllNodes(String job) {
    if (!checksAllNodes) {
      return;
    }
    byte[] submission = Json.bytes(submissions.get(job));
    for (String node : nodes) {
      recordResponse(job, send(node, "GET", "/work/" + job, new byte[0], ALL_NODES_CHECK_TIMEOUT));
      recordResponse(job, send(node, "POST", "/work", submission, ALL_NODES_CHECK_TIMEOUT));
    }
  }

  /** Returns whether a job was accepted and no response has held a final phase of it. */
  boolean isOpen(String job) {
    return history.isAccepted(job) && history.unfinishedJobs().contains(job);
  }

  /** Returns whether a job runs until it is cancelled. */
  boolean isService(String job) {
    return "service".equals(submissions.get(job).get("shape"));
  }

  /** Returns the jobs that these users submitted. */
  public List<String> jobs() {
    return List.copyOf(submissions.keySet());
  }

  /** Polls a job unless it is null; returns whether the response had a phase. */
  public boolean poll(String job) {
    if (job == null) {
      return false;
    }
    boolean answered =
        recordResponse(job, send(node(), "GET", "/work/" + job, new byte[0], POLL_TIMEOUT));
    if (!answered || history.unfinishedJobs().contains(job)) {
      pollQueue.add(job);
    }
    return answered;
  }

  /** Records a response; returns whether it has a phase. */
  private boolean recordResponse(String job, Optional<HttpResponse<byte[]>> response) {
    int status = response.map(HttpResponse::statusCode).orElse(0);
    if (status == 400 || status == 404 || status == 422) {
      history.denied(job, status);
    }
    if (status != 200 && status != 201) {
      return false;
    }
    try {
      String phase = Json.text(Json.object(response.get().body()), "phase");
      history.phaseObserved(job, phase, LoopbackServices.now());
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends one request; returns empty on an error or a timeout. */
  public Optional<HttpResponse<byte[]>> send(
      String node, String method, String path, byte[] body, Duration timeout) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(timeout)
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofByteArray()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
