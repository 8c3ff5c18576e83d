package io.masticpond.core.admission;

import java.util.List;

/**
 * Chooses the server with the greatest free share for its latency, then the least recently used.
 *
 * <p>A server that takes twice as long as another counts as half as free. Latencies are compared in
 * wide steps, so that chance does not keep servers out of use.
 *
 * @since 0.1
 */
public final class WeightedServerSelector implements ServerSelector {

    /** Latencies that differ by less than this factor count as equal. */
    private static final double LATENCY_STEP = 1.5;

    @Override
    public ServerCandidate select(List<ServerCandidate> candidates) {
        long fastest = Long.MAX_VALUE;
        for (ServerCandidate candidate : candidates) {
            if (candidate.typicalNanos() > 0) {
                fastest = Math.min(fastest, candidate.typicalNanos());
            }
        }
        ServerCandidate best = null;
        double bestScore = 0;
        for (ServerCandidate candidate : candidates) {
            double score = score(candidate, fastest);
            if (best == null || score > bestScore || isTieWon(candidate, score, best, bestScore)) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

    private static boolean isTieWon(
            ServerCandidate candidate, double score, ServerCandidate best, double bestScore) {
        return score == bestScore && candidate.lastDispatchNanos() < best.lastDispatchNanos();
    }

    private static double score(ServerCandidate candidate, long fastest) {
        int free = candidate.usableSlots() - candidate.heldSlots();
        double share = (double) free / candidate.usableSlots();
        double slowness = (double) candidate.typicalNanos() / fastest;
        return slowness < LATENCY_STEP ? share : share / slowness;
    }
}
