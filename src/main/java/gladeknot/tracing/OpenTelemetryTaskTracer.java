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
 * Records a span for each submission, until it is committed or refused, and one for each attempt,
 * from its commit to its end. A job's spans have one trace, named after the job, so that those of
 * different controllers belong together without anything being passed between them.
 */
public final class OpenTelemetryTaskTracer implements TaskTracer {
  private static final AttributeKey<String> JOB = AttributeKey.stringKey("job.id");
  private static final AttributeKey<String> TASK = AttributeKey.stringKey("task.name");
  private static final AttributeKey<Long> ATTEMPT = AttributeKey.longKey("task.attempt");
  private static final AttributeKey<String> HOST = AttributeKey.stringKey("worker.host");
  private static final AttributeKey<Long> SHARD = AttributeKey.longKey("shard.number");
  private static final AttributeKey<Long> TERM = AttributeKey.longKey("shard.term");
  private static final AttributeKey<String> CAUSE = AttributeKey.stringKey("end.cause");

  private static final String DONE = "done";
  private static final String TOO_MANY_OPEN = "too many are open";
  private static final String SHARD_RELEASED = "the shard is no longer ours";
  private static final int SPAN_ID_BYTES = 8;

  private record OpenAttempt(Span span, int shard) {}

  private final Tracer tracer;
  private final int maxOpen;
  private final Map<String, Span> submissions = new LinkedHashMap<>();
  private final Map<AttemptId, OpenAttempt> attempts = new LinkedHashMap<>();
  private long wallMicros;

  /** A tracer that keeps so many spans of each kind open; the oldest end when there are more. */
  public OpenTelemetryTaskTracer(Tracer tracer, int maxOpen) {
    this.tracer = tracer;
    this.maxOpen = maxOpen;
  }

  @Override
  public void setTime(long micros) {
    wallMicros = micros;
  }

  /** The parent that all spans of a job have, derived from the job's id. */
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
    span.setStatus(cause.equals(DONE) ? StatusCode.OK : StatusCode.ERROR, cause);
    span.end(wallMicros, TimeUnit.MICROSECONDS);
  }

  @Override
  public void submitted(String job) {
    submissions.computeIfAbsent(job, id -> start("submission", id));
    while (submissions.size() > maxOpen) {
      Iterator<Span> oldest = submissions.values().iterator();
      end(oldest.next(), TOO_MANY_OPEN);
      oldest.remove();
    }
  }

  @Override
  public void accepted(String job) {
    Span span = submissions.remove(job);
    if (span != null) {
      end(span, DONE);
    }
  }

  @Override
  public void refused(String job, String why) {
    Span span = submissions.remove(job);
    if (span != null) {
      end(span, why);
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
    OpenAttempt before = attempts.put(attempt, new OpenAttempt(span, shard));
    if (before != null) {
      end(before.span(), "committed again");
    }
    while (attempts.size() > maxOpen) {
      Iterator<OpenAttempt> oldest = attempts.values().iterator();
      end(oldest.next().span(), TOO_MANY_OPEN);
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
  public void phaseObserved(AttemptId attempt, String state) {
    addEvent(attempt, "reported " + state);
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
        end(open.span(), SHARD_RELEASED);
        remaining.remove();
      }
    }
  }
}
