package io.masticpond.core.admission;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Decides from answers whether a backend server stands out from its peers, within a bound. */
final class OutlierDetector {

    /** A server whose peers fail this part as often does not stand out. */
    private static final double PEER_FAILURE_PART = 0.5;

    /** Latencies are compared after this many answers, since the mean moves slowly. */
    private static final int LATENCY_INTERVAL = 8;

    private final OutlierSettings mSettings;

    /**
     * Makes the detector.
     *
     * @param settings when to eject
     */
    OutlierDetector(OutlierSettings settings) {
        mSettings = settings;
    }

    /**
     * Tells whether a server's failures or latency are far above its peers'.
     *
     * @param server the server
     * @param all the servers of the shard
     * @return whether it stands out
     */
    boolean isOutlier(BackendServerState server, Collection<BackendServerState> all) {
        return fails(server, all) || isSlow(server, all);
    }

    /**
     * Tells whether one more server of the same availability zone may be ejected.
     *
     * @param server the server
     * @param all the servers of the shard
     * @return whether the bound leaves room
     */
    boolean mayEject(BackendServerState server, Collection<BackendServerState> all) {
        int inZone = 0;
        int ejected = 0;
        for (BackendServerState each : all) {
            if (!each.specification().zone().equals(server.specification().zone())) {
                continue;
            }
            inZone++;
            if (each != server && each.ejectionState().isEjectedWithinBound()) {
                ejected++;
            }
        }
        return ejected + 1 <= inZone * mSettings.maximumEjectedShare();
    }

    private boolean fails(BackendServerState server, Collection<BackendServerState> all) {
        ServerRecord record = server.record();
        boolean often =
                record.consecutiveFailures() >= mSettings.consecutiveFailures()
                        || (record.attempts() >= mSettings.minimumAnswers()
                                && record.failureShare() >= mSettings.failureShare());
        if (!often) {
            return false;
        }
        double peers = peerMedian(server, all, each -> each.record().failureShare());
        return !(peers >= record.failureShare() * PEER_FAILURE_PART);
    }

    private boolean isSlow(BackendServerState server, Collection<BackendServerState> all) {
        long samples = server.record().latency().samples();
        if (samples < mSettings.minimumAnswers() || samples % LATENCY_INTERVAL != 0) {
            return false;
        }
        double peers = peerMedian(server, all, each -> each.typicalNanos());
        return server.typicalNanos() > peers * mSettings.slownessFactor();
    }

    /** Gives the median over the peers whose record says something, or not a number without any. */
    private double peerMedian(
            BackendServerState server,
            Collection<BackendServerState> all,
            ToDoubleFunction<BackendServerState> value) {
        double[] values =
                all.stream()
                        .filter(each -> each != server)
                        .filter(each -> each.record().attempts() >= mSettings.minimumAnswers())
                        .mapToDouble(value)
                        .sorted()
                        .toArray();
        return values.length == 0 ? Double.NaN : values[values.length / 2];
    }
}
