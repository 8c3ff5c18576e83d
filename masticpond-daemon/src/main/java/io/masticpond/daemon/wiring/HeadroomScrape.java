package io.masticpond.daemon.wiring;

import io.masticpond.core.admission.Headroom;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.steering.SteeringService;
import io.masticpond.daemon.steering.SteeringService.RegionKey;
import java.util.Map;
import java.util.Set;
import javax.inject.Inject;

/** Brings the metrics of headroom up to date before each scrape; safe for all threads. */
final class HeadroomScrape implements Runnable {

    private final SteeringService mSteering;
    private final DaemonMetrics mMetrics;
    private Set<RegionKey> mShown = Set.of();

    @Inject
    HeadroomScrape(SteeringService steering, DaemonMetrics metrics) {
        mSteering = steering;
        mMetrics = metrics;
    }

    @Override
    public synchronized void run() {
        Map<RegionKey, Headroom> known = mSteering.regionHeadrooms();
        for (RegionKey key : mShown) {
            if (!known.containsKey(key)) {
                mMetrics.capacity().remove(key.service(), key.region());
            }
        }
        known.forEach(
                (key, headroom) ->
                        mMetrics.capacity().updateHeadroom(key.service(), key.region(), headroom));
        mShown = Set.copyOf(known.keySet());
    }
}
