package gladeknot.fleet;

import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Refreshes the catalogue from the cloud's list of machine types. */
final class CatalogRefresh {
  private static final Logger LOG = LoggerFactory.getLogger(CatalogRefresh.class);
  private static final long REFRESH_INTERVAL_MICROS = 60_000_000;
  private static final long RETRY_INTERVAL_MICROS = 1_000_000;
  private static final long EXCLUSION_CHECK_INTERVAL_MICROS = 1_000_000;

  private final InstanceCatalog catalog;
  private final CloudClient cloud;
  private final FleetClock clock;
  private final TaskLifecycle lifecycle;
  private boolean requestInFlight;
  private long nextRefreshMicros;
  private long nextExclusionCheckMicros;

  CatalogRefresh(
      InstanceCatalog catalog, CloudClient cloud, FleetClock clock, TaskLifecycle lifecycle) {
    this.catalog = catalog;
    this.cloud = cloud;
    this.clock = clock;
    this.lifecycle = lifecycle;
  }

  /** Requests the machine types from the cloud if a refresh is due and none is in flight. */
  void tick() {
    if (clock.nowMicros() >= nextExclusionCheckMicros) {
      nextExclusionCheckMicros = clock.nowMicros() + EXCLUSION_CHECK_INTERVAL_MICROS;
      catalog.tick(clock.nowMicros());
    }
    if (!requestInFlight && clock.nowMicros() >= nextRefreshMicros) {
      requestInFlight = cloud.listMachineTypes(this::onTypes);
    }
  }

  private void onTypes(Optional<List<MachineType>> types) {
    requestInFlight = false;
    if (types.isEmpty()) {
      nextRefreshMicros = clock.nowMicros() + RETRY_INTERVAL_MICROS;
      return;
    }
    nextRefreshMicros = clock.nowMicros() + REFRESH_INTERVAL_MICROS;
    boolean first = !catalog.isKnown();
    catalog.update(types.get(), clock.nowMicros());
    if (first) {
      LOG.info("machine types listed types={}", catalog.types());
    }
    lifecycle.requestScheduling();
  }
}
