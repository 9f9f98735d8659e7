package gladeknot.tracing;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Records one span per submission, until the submission is committed or refused, and one span per
 * attempt, from the commit of its start to its end. All spans of a job belong to one trace, whose
 * id is derived from the job's id. Spans from different controllers therefore belong together
 * without any trace context being passed between the controllers.
 */
public final class OpenTelemetryTaskTracer implements TaskTracer {
  private static final AttributeKey<String> JOB = AttributeKey.stringKey("job.id");
  private static final AttributeKey<String> TASK = AttributeKey.stringKey("task.name");
  private static final AttributeKey<Long> ATTEMPT = AttributeKey.longKey("task.attempt");
  private static final AttributeKey<String> HOST = AttributeKey.stringKey("worker.host");
  private static final AttributeKey<Long> SHARD = AttributeKey.longKey("shard.number");
  private static final AttributeKey<Long> TERM = AttributeKey.longKey("shard.term");
  private static final AttributeKey<String> CAUSE = AttributeKey.stringKey("end.cause");

  private static final String CAUSE_DONE = "done";
  private static final String CAUSE_TOO_MANY_OPEN = "too many are open";
  private static final String CAUSE_SHARD_RELEASED = "the shard is no longer ours";
  private static final int SPAN_ID_BYTES = 8;

  private record OpenAttempt(Span span, int shard) {}

  private final Tracer tracer;
  private final int maxOpenSpans;
  private final Map<String, Span> submissions = new LinkedHashMap<>();
  private final Map<AttemptId, OpenAttempt> attempts = new LinkedHashMap<>();
  private long wallMicros;

  /**
   * Creates a tracer that keeps at most {@code maxOpenSpans} submission spans and as many attempt
   * spans open. Above that, it ends the oldest spans.
   */
  public OpenTelemetryTaskTracer(Tracer tracer, int maxOpenSpans) {
    this.tracer = tracer;
    this.maxOpenSpans = maxOpenSpans;
  }

  @Override
  public void setTime(long newWallMicros) {
    wallMicros = newWallMicros;
  }

  /** Returns the parent context of all spans of a job, derived from the job's id. */
  private static Context parent(String job) {
    HashCode hash = Hashing.murmur3_128().hashString(job, StandardCharsets.UTF_8);
    byte[] bytes = hash.asBytes();
    String spanId = HashCode.fromBytes(Arrays.copyOf(bytes, SPAN_ID_BYTES)).toString();
    SpanContext context =
        SpanContext.create(
            hash.toString(), spanId, TraceFlags.getSampled(), TraceState.getDefault());
    return Context.root().with(Span.wrap(context));
  }

  private Span start(String name, String job) {
    return tracer
        .spanBuilder(name)
        .setParent(parent(job))
        .setStartTimestamp(wallMicros, TimeUnit.MICROSECONDS)
        .setAttribute(JOB, job)
        .startSpan();
  }

  private void end(Span span, String cause) {
    span.setAttribute(CAUSE, cause);
    span.setStatus(cause.equals(CAUSE_DONE) ? StatusCode.OK : StatusCode.ERROR, cause);
    span.end(wallMicros, TimeUnit.MICROSECONDS);
  }

  @Override
  public void submitted(String job) {
    submissions.computeIfAbsent(job, id -> start("submission", id));
    while (submissions.size() > maxOpenSpans) {
      Iterator<Span> oldest = submissions.values().iterator();
      end(oldest.next(), CAUSE_TOO_MANY_OPEN);
      oldest.remove();
    }
  }

  @Override
  public void accepted(String job) {
    Span span = submissions.remove(job);
    if (span != null) {
      end(span, CAUSE_DONE);
    }
  }

  @Override
  public void refused(String job, String reason) {
    Span span = submissions.remove(job);
    if (span != null) {
      end(span, reason);
    }
  }

  @Override
  public void committed(AttemptId attempt, String host, int shard, long term) {
    Span span = start("attempt", attempt.job());
    span.setAttribute(TASK, attempt.task());
    span.setAttribute(ATTEMPT, attempt.number());
    span.setAttribute(HOST, host);
    span.setAttribute(SHARD, (long) shard);
    span.setAttribute(TERM, term);
    OpenAttempt previous = attempts.put(attempt, new OpenAttempt(span, shard));
    if (previous != null) {
      end(previous.span(), "committed again");
    }
    while (attempts.size() > maxOpenSpans) {
      Iterator<OpenAttempt> oldest = attempts.values().iterator();
      end(oldest.next().span(), CAUSE_TOO_MANY_OPEN);
      oldest.remove();
    }
  }

  private void addEvent(AttemptId attempt, String name) {
    OpenAttempt open = attempts.get(attempt);
    if (open != null) {
      open.span().addEvent(name, wallMicros, TimeUnit.MICROSECONDS);
    }
  }

  @Override
  public void runSent(AttemptId attempt) {
    addEvent(attempt, "ordered");
  }

  @Override
  public void phaseObserved(AttemptId attempt, String phase) {
    addEvent(attempt, "reported " + phase);
  }

  @Override
  public void killed(AttemptId attempt) {
    addEvent(attempt, "killed");
  }

  @Override
  public void ended(AttemptId attempt, String cause) {
    OpenAttempt open = attempts.remove(attempt);
    if (open != null) {
      end(open.span(), cause);
    }
  }

  @Override
  public void shardReleased(int shard) {
    Iterator<OpenAttempt> remaining = attempts.values().iterator();
    while (remaining.hasNext()) {
      OpenAttempt open = remaining.next();
      if (open.shard() == shard) {
        end(open.span(), CAUSE_SHARD_RELEASED);
        remaining.remove();
      }
    }
  }
}
