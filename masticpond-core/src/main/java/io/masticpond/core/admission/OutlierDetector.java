package io.masticpond.core.admission;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * Detector of backend servers whose answers are worse than those of their peers, with a bound on
 * ejections.
 */
final class OutlierDetector {

    /**
     * A server is no outlier if the failure share of its peers is at least this part of its own.
     */
    private static final double PEER_FAILURE_PART = 0.5;

    /** Number of answers between two comparisons of latencies, since the mean changes slowly. */
    private static final int LATENCY_INTERVAL = 8;

    private final OutlierSettings mSettings;

    /**
     * Creates a detector.
     *
     * @param settings the conditions of an ejection
     */
    OutlierDetector(OutlierSettings settings) {
        mSettings = settings;
    }

    /**
     * Returns whether the failures or the latency of a server are far above those of its peers.
     *
     * @param server the server
     * @param all the servers of the shard
     * @return whether it is an outlier
     */
    boolean isOutlier(BackendServerState server, Collection<BackendServerState> all) {
        return fails(server, all) || isSlow(server, all);
    }

    /**
     * Returns whether one more server of the same availability zone may be ejected.
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

    /** Returns the median over the peers with enough answers, or NaN if there are none. */
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
