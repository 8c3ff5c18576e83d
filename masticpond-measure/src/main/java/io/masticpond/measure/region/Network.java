package io.masticpond.measure.region;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.measure.support.Deployment;
import io.masticpond.measure.support.EventQueue;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Simulated network between availability zones, one of which may be cut off from all others. */
final class Network {

    /** Duration of inactivity after which a partition is detected. */
    static final Duration PARTITION_DETECTION_DELAY = Duration.ofSeconds(2);

    private static final Duration WITHIN_ZONE = Duration.ofNanos(100_000);

    private final EventQueue mEvents;
    private final Deployment mDeployment;
    private final Map<ZoneId, RegionId> mRegions = new HashMap<>();
    private ZoneId mCutZone;
    private long mCutNanos;

    Network(EventQueue events, Deployment deployment, Configuration configuration) {
        mEvents = events;
        mDeployment = deployment;
        for (ZoneId zone : deployment.zones()) {
            mRegions.put(zone, configuration.regionOf(zone).orElseThrow());
        }
    }

    void cutOff(ZoneId zone) {
        mCutZone = zone;
        mCutNanos = mEvents.nanos();
    }

    void heal() {
        mCutZone = null;
    }

    boolean isCut(ZoneId first, ZoneId second) {
        return !first.equals(second) && (first.equals(mCutZone) || second.equals(mCutZone));
    }

    long delayNanos(ZoneId from, ZoneId to) {
        if (from.equals(to)) {
            return WITHIN_ZONE.toNanos();
        }
        boolean sameRegion = mRegions.get(from).equals(mRegions.get(to));
        return (sameRegion ? mDeployment.zoneDelay() : mDeployment.regionDelay()).toNanos();
    }

    /**
     * Sends a message between availability zones.
     *
     * @param onArrival run on arrival of the message
     * @param onLoss run at the sender once the partition between the zones is detected
     */
    void send(ZoneId from, ZoneId to, Runnable onArrival, Runnable onLoss) {
        if (isCut(from, to)) {
            mEvents.schedule(Math.max(mEvents.nanos(), detectionNanos()), onLoss);
            return;
        }
        mEvents.after(
                delayNanos(from, to),
                () -> {
                    if (isCut(from, to)) {
                        mEvents.schedule(Math.max(mEvents.nanos(), detectionNanos()), onLoss);
                    } else {
                        onArrival.run();
                    }
                });
    }

    private long detectionNanos() {
        return mCutNanos + PARTITION_DETECTION_DELAY.toNanos();
    }
}
