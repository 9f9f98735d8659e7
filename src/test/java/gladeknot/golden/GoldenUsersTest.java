package gladeknot.golden;

import static gladeknot.golden.GoldenCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards the responses to users' requests, byte for byte except for the order of fields. */
class GoldenUsersTest {
  private static final GoldenFile SUBMISSIONS = new GoldenFile("users/submissions.txt");
  private static final GoldenFile PATHS = new GoldenFile("users/paths.txt");
  private static final GoldenFile BODIES = new GoldenFile("users/malformed-bodies.txt");
  private static final GoldenFile JOB_LIFE = new GoldenFile("users/life-of-a-job.txt");
  private static final GoldenFile NOT_READY = new GoldenFile("users/not-ready.txt");

  private record Request(String method, String path) {
    @Override
    public String toString() {
      return method + " " + path;
    }
  }

  private static GoldenCluster cluster() {
    GoldenCluster cluster = new GoldenCluster(1, GoldenCluster.FIRST_LAYOUT).start(0);
    return cluster.run(3 * MICROS_PER_SECOND);
  }

  private static List<SubmissionCase> submissions() {
    return SubmissionCase.all();
  }

  /** The jobs that submissions name under {@code waitsOn} exist. */
  @ParameterizedTest
  @MethodSource("submissions")
  void submissionsAreAnsweredAsRecorded(SubmissionCase submission) {
    GoldenCluster cluster = cluster();
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-open", "array", 1));
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-service", "service", 1));
    cluster.responseText(0, "POST", "/work", TestJobs.job("req-withdrawn", "array", 1));
    cluster.responseText(0, "POST", "/work/req-withdrawn/abort", null);
    SUBMISSIONS.check(
        submission.toString(), cluster.responseText(0, "POST", "/work", submission.body()));
  }

  @Test
  void eachSubmissionHasItsOwnName() {
    List<String> names = submissions().stream().map(SubmissionCase::toString).toList();
    assertEquals(names.size(), names.stream().distinct().count());
    SUBMISSIONS.checkNames(names);
  }

  private static final List<Request> REQUESTS =
      List.of(
          new Request("GET", "/healthz"),
          new Request("GET", "/healthz?verbose=1"),
          new Request("POST", "/healthz"),
          new Request("GET", "/work"),
          new Request("PUT", "/work"),
          new Request("PUT", "/work/req-1"),
          new Request("DELETE", "/work/req-1"),
          new Request("GET", "/work/req-1/abort"),
          new Request("GET", "/work/req-1"),
          new Request("POST", "/work/req-1/abort"),
          new Request("GET", "/work/nonsense"),
          new Request("POST", "/work/nonsense/abort"),
          new Request("GET", "/work/"),
          new Request("GET", "/work/req-1/other"),
          new Request("GET", "/hello"),
          new Request("GET", "/"),
          new Request("GET", "/elsewhere"));

  @Test
  void pathsAreAnsweredAsRecorded() {
    Map<String, String> answers = new LinkedHashMap<>();
    GoldenCluster cluster = cluster();
    for (Request request : REQUESTS) {
      answers.put(
          request.toString(), cluster.responseText(0, request.method(), request.path(), null));
    }
    PATHS.checkAll(answers);
  }

  @Test
  void malformedBodiesAreRefused() {
    Map<String, String> answers = new LinkedHashMap<>();
    GoldenCluster cluster = cluster();
    for (String path : List.of("/work", "/hello")) {
      for (String body : List.of("", "not JSON", "{", "[]", "null", "\"text\"", "7", "{}")) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String answer = GoldenCluster.text(cluster.request(0, "POST", path, bytes));
        answers.put("POST " + path + " " + CanonicalJson.of(bytes), answer);
      }
    }
    BODIES.checkAll(answers);
  }

  /** A controller that has not read the state yet answers with final phases only. */
  @Test
  void requestsBeforeTheStateIsReadGetFinalPhasesOnly() {
    Map<String, String> answers = new LinkedHashMap<>();
    GoldenCluster cluster = new GoldenCluster(1, GoldenCluster.FIRST_LAYOUT).start(0);
    answers.put("GET /healthz", cluster.responseText(0, "GET", "/healthz", null));
    cluster = new GoldenCluster(1, GoldenCluster.FIRST_LAYOUT).start(0);
    answers.put("POST /work", cluster.responseText(0, "POST", "/work", SubmissionCase.valid()));
    cluster = new GoldenCluster(1, GoldenCluster.FIRST_LAYOUT).start(0);
    answers.put("GET /work/ID", cluster.responseText(0, "GET", "/work/req-1", null));
    cluster = new GoldenCluster(1, GoldenCluster.FIRST_LAYOUT).start(0);
    answers.put("POST /work/ID/abort", cluster.responseText(0, "POST", "/work/req-1/abort", null));
    NOT_READY.checkAll(answers);
  }

  @Test
  void everyPhaseOfAJobIsAnsweredAsRecorded() {
    Map<String, String> answers = new LinkedHashMap<>();
    GoldenCluster cluster = cluster();
    Map<String, Object> job = TestJobs.job("req-1", "array", 2);
    answers.put("submitted", cluster.responseText(0, "POST", "/work", job));
    answers.put("submitted again", cluster.responseText(0, "POST", "/work", job));
    answers.put("asked", cluster.responseText(0, "GET", "/work/req-1", null));
    answers.put("cancelled", cluster.responseText(0, "POST", "/work/req-1/abort", null));
    answers.put("cancelled again", cluster.responseText(0, "POST", "/work/req-1/abort", null));
    answers.put("asked when cancelled", cluster.responseText(0, "GET", "/work/req-1", null));
    answers.put("submitted when cancelled", cluster.responseText(0, "POST", "/work", job));
    Map<String, Object> dependent = TestJobs.jobAfter("req-2", 3, "req-1");
    answers.put("needs a cancelled job", cluster.responseText(0, "POST", "/work", dependent));
    JOB_LIFE.checkAll(answers);
  }
}
