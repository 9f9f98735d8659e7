package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Users on loopback: they submit small jobs at a pace, ask about them and cancel some. */
public final class LoopbackUsers implements Runnable {
  private static final Duration POLL_WAIT = Duration.ofSeconds(2);
  private static final Duration SUBMIT_WAIT = Duration.ofSeconds(5);
  private static final int MAX_TASKS = 4;
  private static final int CANCELLED_IN = 6;
  private static final int RETRY_MILLIS = 300;

  private final List<String> nodes;
  private final History history;
  private final SplittableRandom random;
  private final long paceMillis;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final ArrayDeque<String> asked = new ArrayDeque<>();
  private volatile boolean stopped;
  private int next;

  /** Users that submit a job in each span of the given length. */
  public LoopbackUsers(List<String> nodes, History history, long seed, long paceMillis) {
    this.nodes = nodes;
    this.history = history;
    this.random = new SplittableRandom(seed);
    this.paceMillis = paceMillis;
  }

  /** No more jobs are submitted. */
  public void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      submit("req-users" + next++, 1 + random.nextInt(MAX_TASKS));
      LoopbackServices.pause(paceMillis);
      poll(asked.poll());
      poll(asked.poll());
    }
  }

  private String node() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void submit(String job, int tasks) {
    history.submitted(job, tasks);
    Map<String, Object> spec = TestJobs.job(job, "array", tasks);
    long until = LoopbackServices.now() + 30_000_000;
    boolean accepted = false;
    while (!accepted && LoopbackServices.now() < until) {
      accepted = tell(job, send(node(), "POST", "/work", Json.bytes(spec), SUBMIT_WAIT));
      if (!accepted) {
        LoopbackServices.pause(RETRY_MILLIS);
      }
    }
    asked.add(job);
    if (random.nextInt(CANCELLED_IN) == 0) {
      tell(job, send(node(), "POST", "/work/" + job + "/abort", new byte[0], SUBMIT_WAIT));
    }
  }

  /** Asks about a job; returns whether there was an answer. */
  public boolean poll(String job) {
    if (job == null) {
      return false;
    }
    boolean answered = tell(job, send(node(), "GET", "/work/" + job, new byte[0], POLL_WAIT));
    if (!answered || history.open().contains(job)) {
      asked.add(job);
    }
    return answered;
  }

  /** Takes an answer in; returns whether it is one about the job. */
  private boolean tell(String job, Optional<HttpResponse<byte[]>> response) {
    int status = response.map(HttpResponse::statusCode).orElse(0);
    if (status != 200 && status != 201) {
      return false;
    }
    try {
      String phase = Json.text(Json.object(response.get().body()), "phase");
      history.told(job, phase, LoopbackServices.now());
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends one request; empty if no answer came. */
  public Optional<HttpResponse<byte[]>> send(
      String node, String method, String path, byte[] body, Duration wait) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(wait)
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
