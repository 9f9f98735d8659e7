package gladeknot.golden;

import gladeknot.json.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** A submission that differs in one field from the valid one in {@code users/submission.json}. */
record SubmissionCase(String field, Object value, Map<String, Object> otherFields) {
  private static final String ABSENT = "(absent)";

  private static final List<String> REQUIRED =
      List.of(
          "id",
          "jobclass",
          "owner",
          "shape",
          "rank",
          "strands",
          "cores",
          "accelerators",
          "memoryGb",
          "bundle",
          "sizeGb",
          "together",
          "scatter",
          "loaners",
          "guessS",
          "snapshotS",
          "flushS");
  private static final List<String> OPTIONAL = List.of("hosttypes", "glade", "dueS", "waitsOn");
  private static final List<String> AMOUNTS =
      List.of(
          "cores",
          "accelerators",
          "memoryGb",
          "sizeGb",
          "guessS",
          "snapshotS",
          "flushS",
          "dueS",
          "strands");
  private static final List<String> TEXTS =
      List.of("id", "jobclass", "owner", "shape", "rank", "bundle", "glade");
  private static final List<String> FLAGS = List.of("together", "scatter", "loaners");

  private static final int MAX_TEXT_LENGTH = 200;

  /** Returns the valid submission. */
  static Map<String, Object> valid() {
    try {
      return Json.object(GoldenFile.bytes("users/submission.json"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns cases with each field absent, null, of the wrong type and out of its range. */
  static List<SubmissionCase> all() {
    List<SubmissionCase> cases = new ArrayList<>();
    for (String field : REQUIRED) {
      add(cases, field, ABSENT, null);
    }
    OPTIONAL.forEach(field -> add(cases, field, ABSENT, null));
    AMOUNTS.forEach(field -> add(cases, field, "x", -1, -0.5, 0, 0.0, 1e10));
    TEXTS.forEach(field -> add(cases, field, "", 3, "x".repeat(MAX_TEXT_LENGTH + 1)));
    FLAGS.forEach(field -> add(cases, field, 1, "true"));
    add(cases, "id", "job-1", "req-", "req-a b", "req-" + "x".repeat(60), "req-" + "x".repeat(61));
    add(cases, "strands", 1.5, 2.0, 100_000, 100_001, Long.MAX_VALUE);
    add(cases, "shape", "ring", "ARRAY");
    add(cases, "rank", "boss");
    add(cases, "owner", "nobody");
    add(cases, "cores", 4.0, 4.001, 24.0, 24.001);
    add(cases, "memoryGb", 16.0, 16.001);
    add(cases, "accelerators", 0.5);
    add(cases, "hosttypes", "small", List.of(), List.of(1), List.of("small", 1), List.of("none"));
    add(cases, "hosttypes", List.of("small"), Collections.nCopies(2000, "small"));
    add(cases, "glade", "b", "nowhere");
    add(cases, "waitsOn", "req-open", List.of(), List.of("open"), List.of(1));
    add(cases, "waitsOn", List.of("req-open"), List.of("req-open", "req-open"));
    add(cases, "waitsOn", List.of("req-open", "req-unknown"), List.of("req-service"));
    add(cases, "waitsOn", List.of("req-000412"), List.of("req-withdrawn"));
    add(cases, "waitsOn", IntStream.range(0, 2000).mapToObj(i -> "req-" + i).toList());
    add(cases, "unknownField", "ignored");
    addTeamLimitCases(cases);
    return cases;
  }

  /** Adds cases around the team's limit, against which all tasks of a gang or service count. */
  private static void addTeamLimitCases(List<SubmissionCase> cases) {
    for (String shape : List.of("array", "ensemble", "service")) {
      for (int tasks : List.of(16, 17)) {
        cases.add(new SubmissionCase("strands", tasks, Map.of("shape", shape)));
      }
    }
  }

  private static void add(List<SubmissionCase> cases, String field, Object... values) {
    for (Object value : values) {
      cases.add(new SubmissionCase(field, value, Map.of()));
    }
  }

  /** Returns the submission with the field changed. */
  Map<String, Object> body() {
    Map<String, Object> body = valid();
    body.putAll(otherFields);
    if (ABSENT.equals(value)) {
      body.remove(field);
    } else {
      body.put(field, value);
    }
    return body;
  }

  @Override
  public String toString() {
    String text = field + "=" + (ABSENT.equals(value) ? ABSENT : CanonicalJson.of(value));
    String shortened =
        text.length() > MAX_TEXT_LENGTH / 2
            ? text.substring(0, 30) + "... " + text.length() + " characters"
            : text;
    return shortened + (otherFields.isEmpty() ? "" : " " + CanonicalJson.of(otherFields));
  }
}
