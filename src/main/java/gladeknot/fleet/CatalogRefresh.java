package gladeknot.fleet;

import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the catalogue as the cloud lists it. */
final class CatalogRefresh {
  private static final Logger LOG = LoggerFactory.getLogger(CatalogRefresh.class);
  private static final long INTERVAL_MICROS = 60_000_000;
  private static final long RETRY_MICROS = 1_000_000;

  private final InstanceCatalog catalog;
  private final CloudClient cloud;
  private final FleetClock clock;
  private final TaskLifecycle lifecycle;
  private boolean asking;
  private long nextMicros;

  CatalogRefresh(
      InstanceCatalog catalog, CloudClient cloud, FleetClock clock, TaskLifecycle lifecycle) {
    this.catalog = catalog;
    this.cloud = cloud;
    this.clock = clock;
    this.lifecycle = lifecycle;
  }

  /** Asks the cloud for its types when that is due. */
  void tick() {
    if (!asking && clock.nowMicros() >= nextMicros) {
      asking = cloud.listMachineTypes(this::onTypes);
    }
  }

  private void onTypes(Optional<List<MachineType>> types) {
    asking = false;
    if (types.isEmpty()) {
      nextMicros = clock.nowMicros() + RETRY_MICROS;
      return;
    }
    nextMicros = clock.nowMicros() + INTERVAL_MICROS;
    boolean first = !catalog.isKnown();
    catalog.update(types.get());
    if (first) {
      LOG.info("machine types listed types={}", catalog.types());
    }
    lifecycle.requestScheduling();
  }
}
