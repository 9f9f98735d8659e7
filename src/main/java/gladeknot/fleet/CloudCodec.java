package gladeknot.fleet;

import com.google.common.escape.Escaper;
import com.google.common.net.PercentEscaper;
import gladeknot.json.Json;
import gladeknot.json.ResourceUnits;
import gladeknot.outbox.Outbox;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Converts requests to the cloud and its replies between JSON and typed messages. Only this class
 * uses the field names of the cloud's API: hire = scale-out request, hosttype = machine type, glade
 * = zone, loaners = spot.
 */
final class CloudCodec {
  static final String MACHINE_TYPES_PATH = "/machine_types";
  static final String INSTANCES_PATH = "/rentals";
  static final String RELEASE_PATH = "/rentals/release";

  /** Maximum number of instances on one page of the list. */
  private static final int PAGE_SIZE = 500;

  private static final int UNAVAILABLE = 503;

  /** Error text by which the cloud reports an outage of its own rather than a lack of instances. */
  private static final String OUTAGE_ERROR = "trouble";

  /** Escapes what a query can't contain. */
  private static final Escaper NAME_ESCAPER = new PercentEscaper("-._~", false);

  private static final String FAILED_PHASE = "failed";
  private static final double MICROS_PER_SECOND = 1e6;

  /** Fetch rate assumed for a listed type without one. */
  private static final double DEFAULT_FETCH_GB_PER_SECOND = 0.1;

  /** Boot time assumed for a listed type without one. */
  private static final double DEFAULT_BOOT_SECONDS = 30;

  private CloudCodec() {}

  /**
   * The cloud's answer to a scale-out request.
   *
   * @param httpStatus the status; 0 if no answer arrived, in which case the cloud may still have
   *     fulfilled the request
   * @param hosts names of the instances that were started
   * @param outOfCapacity whether the cloud lacks instances, as opposed to having an outage
   */
  record ScaleOutResponse(int httpStatus, List<String> hosts, boolean outOfCapacity) {
    boolean answered() {
      return httpStatus != 0;
    }

    boolean fulfils(int count) {
      return httpStatus == 200 && hosts.size() >= count;
    }
  }

  /**
   * An instance as the cloud lists it. Text fields that the cloud left out are null.
   *
   * @param failed whether the cloud reports the instance as failed
   */
  record ListedInstance(
      String host, String endpoint, String type, String zone, boolean spot, boolean failed) {}

  /** A page of the cloud's list. {@code more} is true if further instances follow. */
  record InstancePage(List<ListedInstance> instances, boolean more) {}

  /** Returns the body of a scale-out request. */
  static Map<String, Object> scaleOutRequest(ScaleOutRequest request) {
    return Json.of(
        "hire", request.name(),
        "hosttype", request.offering().type().name(),
        "glade", request.offering().zone(),
        "loaners", request.offering().spot(),
        "number", request.count());
  }

  static ScaleOutResponse scaleOutResponse(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    boolean outage = OUTAGE_ERROR.equals(Json.text(body, "error"));
    return new ScaleOutResponse(
        reply.status(), Json.texts(body, "hosts"), reply.status() == UNAVAILABLE && !outage);
  }

  /** Returns the body of a request to release instances. */
  static Map<String, Object> releaseRequest(List<String> hosts) {
    return Json.of("hosts", hosts);
  }

  /**
   * Returns the path of a page of the list: the instances after a host, or the first instances if
   * {@code afterHost} is empty.
   */
  static String instancePagePath(String afterHost) {
    String from = afterHost.isEmpty() ? "" : "from=" + NAME_ESCAPER.escape(afterHost) + "&";
    return INSTANCES_PATH + "?" + from + "most=" + PAGE_SIZE;
  }

  static InstancePage instancePage(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    List<ListedInstance> instances = new ArrayList<>();
    for (Map<String, Object> instance : Json.objects(body, "hosts")) {
      instances.add(listedInstance(instance));
    }
    return new InstancePage(instances, Json.flag(body, "more"));
  }

  private static ListedInstance listedInstance(Map<String, Object> instance) {
    return new ListedInstance(
        Json.text(instance, "id"),
        Json.text(instance, "endpoint"),
        Json.text(instance, "hosttype"),
        Json.text(instance, "glade"),
        Json.flag(instance, "loaners"),
        FAILED_PHASE.equals(Json.text(instance, "phase")));
  }

  static List<MachineType> machineTypes(Outbox.Reply reply) {
    List<MachineType> types = new ArrayList<>();
    for (Map<String, Object> type : Json.objects(reply.object(), "hosttypes")) {
      types.add(machineType(type));
    }
    return types;
  }

  private static MachineType machineType(Map<String, Object> type) {
    return new MachineType(
        Json.text(type, "label"),
        ResourceUnits.available(type, "cores"),
        ResourceUnits.available(type, "accelerators"),
        ResourceUnits.available(type, "memoryGb"),
        Json.doubleValue(type, "cacheGb", 0),
        Json.doubleValue(type, "fetchGbPerS", DEFAULT_FETCH_GB_PER_SECOND),
        Json.doubleValue(type, "rate", 0),
        Json.doubleValue(type, "marketPrice", 0),
        (long) (Json.doubleValue(type, "readyS", DEFAULT_BOOT_SECONDS) * MICROS_PER_SECOND),
        Json.texts(type, "glades"));
  }
}
