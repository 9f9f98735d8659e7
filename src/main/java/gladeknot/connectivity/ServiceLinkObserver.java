package gladeknot.connectivity;

import gladeknot.outbox.CallObserver;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Derives evidence on the links to the state service and the cloud from the calls made there. An
 * answer proves both directions for the moment at which its request was sent; a watch that is
 * answered late proves besides that answers come in now.
 */
final class ServiceLinkObserver implements CallObserver {
  private static final String WATCH = "/follow";
  private static final int UNAVAILABLE = 503;

  /** A call without a reply yet. */
  private record OpenCall(LinkId link, long sentMicros, boolean watch) {}

  private final LinkTable links;
  private final String stateAddress;
  private final String cloudAddress;
  private final Map<Long, OpenCall> open = new HashMap<>();
  private long nowMicros;

  ServiceLinkObserver(Settings settings, LinkTable links) {
    this.links = links;
    this.stateAddress = settings.stateAddress();
    this.cloudAddress = settings.cloudAddress();
  }

  /** Sets the time by which evidence is dated. */
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
      open.put(call.id(), new OpenCall(link, nowMicros, call.path().startsWith(WATCH)));
    }
  }

  @Override
  public void replied(long callId, int status) {
    OpenCall call = open.remove(callId);
    if (call == null) {
      return;
    }
    DirectionHealth outbound = links.health(call.link(), Direction.OUTBOUND);
    DirectionHealth inbound = links.health(call.link(), Direction.INBOUND);
    DirectionHealth service = links.health(call.link(), Direction.SERVICE);
    if (status == 0) {
      // A watch that ends without an answer may have hung for other reasons than the link.
      if (!call.watch()) {
        outbound.overdue(call.sentMicros());
        inbound.overdue(call.sentMicros());
      }
      return;
    }
    outbound.proven(call.sentMicros());
    inbound.proven(call.watch() ? nowMicros : call.sentMicros());
    if (status == UNAVAILABLE) {
      service.overdue(call.sentMicros());
    } else {
      service.proven(call.sentMicros());
    }
  }
}
