package gladeknot.connectivity;

import gladeknot.outbox.CallObserver;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Derives evidence on the links to the state service and the cloud from the calls to them. An
 * answer proves both directions as of the time at which its request was sent. The answer to a
 * watch, which may come late, proves the inbound direction as of its arrival.
 */
final class ServiceLinkObserver implements CallObserver {
  private static final String WATCH_PATH = "/follow";
  private static final int STATUS_UNAVAILABLE = 503;

  /** A call that has no reply yet. */
  private record OpenCall(LinkId link, long sentMicros, boolean watch) {}

  private final LinkTable links;
  private final String stateAddress;
  private final String cloudAddress;
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private long nowMicros;

  ServiceLinkObserver(Settings settings, LinkTable links) {
    this.links = links;
    this.stateAddress = settings.stateAddress();
    this.cloudAddress = settings.cloudAddress();
  }

  /** Sets the current time, with which evidence is dated. */
  void setTime(long micros) {
    nowMicros = micros;
  }

  @Override
  public void called(Outbox.Call call) {
    LinkId link = null;
    if (call.address().equals(stateAddress)) {
      link = LinkId.STATE;
    } else if (call.address().equals(cloudAddress)) {
      link = LinkId.CLOUD;
    }
    if (link != null) {
      openCalls.put(call.id(), new OpenCall(link, nowMicros, call.path().startsWith(WATCH_PATH)));
    }
  }

  @Override
  public void replied(long callId, int status) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    DirectionHealth outbound = links.health(call.link(), Direction.OUTBOUND);
    DirectionHealth inbound = links.health(call.link(), Direction.INBOUND);
    DirectionHealth service = links.health(call.link(), Direction.SERVICE);
    if (status == 0) {
      // A watch can end without an answer although the link works.
      if (!call.watch()) {
        outbound.recordOverdue(call.sentMicros());
        inbound.recordOverdue(call.sentMicros());
      }
      return;
    }
    outbound.recordProven(call.sentMicros());
    inbound.recordProven(call.watch() ? nowMicros : call.sentMicros());
    if (status == STATUS_UNAVAILABLE) {
      service.recordOverdue(call.sentMicros());
    } else {
      service.recordProven(call.sentMicros());
    }
  }
}
