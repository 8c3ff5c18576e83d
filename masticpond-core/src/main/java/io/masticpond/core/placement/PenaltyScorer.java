package io.masticpond.core.placement;

import io.masticpond.core.limit.CallOutlierDetector;
import java.util.Optional;

/**
 * {@link ServerScorer} by the sum of the penalties of the rank, the zone, the load and the failures
 * of a server. It requires no knowledge of the times of runs.
 *
 * @since 0.3
 */
final class PenaltyScorer implements ServerScorer {

    private final PlacementSettings mSettings;
    private final CallOutlierDetector mOutlierDetector;
    private final double mPerHome;
    private final long mNowNanos;

    /**
     * Creates a scorer.
     *
     * @param settings the weights of the criteria
     * @param outlierDetector the detector of servers that fail or are slow
     * @param perHome the penalty of each further home
     * @param nowNanos the current monotonic time
     */
    PenaltyScorer(
            PlacementSettings settings,
            CallOutlierDetector outlierDetector,
            double perHome,
            long nowNanos) {
        mSettings = settings;
        mOutlierDetector = outlierDetector;
        mPerHome = perHome;
        mNowNanos = nowNanos;
    }

    @Override
    public ServerChoice score(ServerLoad server, int rank) {
        double score =
                -rankPenalty(rank) - mSettings.zonePenalty(server.distance()) - loadPenalty(server);
        return new ServerChoice(server, score, rank, Optional.empty());
    }

    @Override
    public ServerChoice scoreAlternative(ServerLoad server, int rank) {
        return new ServerChoice(server, -loadPenalty(server), rank, Optional.empty());
    }

    @Override
    public int comparedHomes() {
        return mSettings.homes();
    }

    @Override
    public boolean isSufficient(ServerChoice best) {
        return best.score() >= -nonHomePenalty(mSettings.homes());
    }

    /**
     * Returns the penalty of a rank. The homes of a key cache its object if there are few objects;
     * other servers would have to fetch it.
     */
    private double rankPenalty(int rank) {
        return rank < mSettings.homes() ? rank * mPerHome : nonHomePenalty(rank);
    }

    /** Returns the lowest penalty, from a rank on, of servers that do not cache the object. */
    private double nonHomePenalty(int rank) {
        return Math.max(mSettings.cacheMiss(), mPerHome) + rank * mSettings.perHome();
    }

    private double loadPenalty(ServerLoad load) {
        double slots = load.server().slots();
        double inFlight = load.inFlight(mNowNanos);
        double busy = Math.min(1, inFlight / slots);
        double queued = Math.max(0, inFlight + 1 - slots) / slots;
        double failing =
                mOutlierDetector.penalty(load.server().service(), load.server().id(), mNowNanos);
        return mSettings.perBusy() * busy
                + mSettings.perQueued() * queued
                + mSettings.failing() * failing;
    }
}
