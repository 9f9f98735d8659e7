package gladeknot.app;

import gladeknot.jobs.JobRequestHandler;
import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.workers.HeartbeatHandler;

/** Routes requests from users, workers and the platform by path and method. */
final class RequestRouter {
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final String HEALTH_PATH = "/healthz";
  private static final String JOBS_PATH = "/work";
  private static final String HEARTBEAT_PATH = "/hello";

  /**
   * First segment of /work/ID and /work/ID/abort. Indexes and counts of segments include the empty
   * segment before the first slash.
   */
  private static final String JOBS_SEGMENT = "work";

  private static final String CANCEL_SEGMENT = "abort";
  private static final int ID_INDEX = 2;
  private static final int JOB_SEGMENTS = 3;
  private static final int CANCEL_SEGMENTS = 4;

  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  /** Answers a health check. */
  interface HealthCheck {
    void answer(long request);
  }

  private final Outbox outbox;
  private final HealthCheck health;
  private final JobRequestHandler jobs;
  private final HeartbeatHandler heartbeats;

  RequestRouter(
      Outbox outbox, HealthCheck health, JobRequestHandler jobs, HeartbeatHandler heartbeats) {
    this.outbox = outbox;
    this.health = health;
    this.jobs = jobs;
    this.heartbeats = heartbeats;
  }

  /** Passes a request to its handler, or answers 404 or 405. The query string is ignored. */
  void route(long request, String method, String uri, byte[] body) {
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    switch (path) {
      case HEALTH_PATH -> {
        if (requireMethod(request, method, GET)) {
          health.answer(request);
        }
      }
      case JOBS_PATH -> {
        if (requireMethod(request, method, POST)) {
          jobs.submit(request, body);
        }
      }
      case HEARTBEAT_PATH -> {
        if (requireMethod(request, method, POST)) {
          heartbeats.handle(request, body);
        }
      }
      default -> routeJob(request, method, path.split("/", -1));
    }
  }

  private void routeJob(long request, String method, String[] segments) {
    boolean namesJob =
        segments.length >= JOB_SEGMENTS
            && segments[1].equals(JOBS_SEGMENT)
            && !segments[ID_INDEX].isEmpty();
    if (namesJob && segments.length == JOB_SEGMENTS) {
      if (requireMethod(request, method, GET) && requireValidId(request, segments[ID_INDEX])) {
        jobs.poll(request, segments[ID_INDEX]);
      }
    } else if (namesJob
        && segments.length == CANCEL_SEGMENTS
        && segments[CANCEL_SEGMENTS - 1].equals(CANCEL_SEGMENT)) {
      if (requireMethod(request, method, POST) && requireValidId(request, segments[ID_INDEX])) {
        jobs.cancel(request, segments[ID_INDEX]);
      }
    } else {
      refuse(request, NOT_FOUND, "no such path");
    }
  }

  private boolean requireMethod(long request, String method, String expected) {
    if (method.equals(expected)) {
      return true;
    }
    refuse(request, METHOD_NOT_ALLOWED, "use " + expected);
    return false;
  }

  /**
   * Returns whether the id is well-formed; if not, answers 404, since no job can have such an id.
   */
  private boolean requireValidId(long request, String id) {
    if (JobSpec.isId(id)) {
      return true;
    }
    refuse(request, NOT_FOUND, "no such job");
    return false;
  }

  private void refuse(long request, int status, String error) {
    outbox.answer(request, status, Json.of("error", error));
  }
}
