package io.masticpond.daemon.wiring;

import io.masticpond.core.admission.Headroom;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.steering.SteeringService;
import io.masticpond.daemon.steering.SteeringService.RegionKey;
import java.util.Map;
import java.util.Set;
import javax.inject.Inject;

/** Task that updates the headroom metrics before each scrape. Thread-safe. */
final class HeadroomScrape implements Runnable {

    private final SteeringService mSteeringService;
    private final DaemonMetrics mMetrics;
    private Set<RegionKey> mPublishedKeys = Set.of();

    @Inject
    HeadroomScrape(SteeringService steeringService, DaemonMetrics metrics) {
        mSteeringService = steeringService;
        mMetrics = metrics;
    }

    @Override
    public synchronized void run() {
        Map<RegionKey, Headroom> headrooms = mSteeringService.regionHeadrooms();
        for (RegionKey key : mPublishedKeys) {
            if (!headrooms.containsKey(key)) {
                mMetrics.capacity().remove(key.service(), key.region());
            }
        }
        headrooms.forEach(
                (key, headroom) ->
                        mMetrics.capacity().updateHeadroom(key.service(), key.region(), headroom));
        mPublishedKeys = Set.copyOf(headrooms.keySet());
    }
}
