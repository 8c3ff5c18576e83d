package io.masticpond.core.admission;

import java.util.List;

/**
 * {@link ServerSelector} that chooses the server with the highest latency-weighted share of free
 * slots, and on a tie the least recently used.
 *
 * <p>A server with twice the latency of the fastest counts as half as free. Small differences in
 * latency are ignored, so that random variation does not keep servers out of use.
 *
 * @since 0.1
 */
public final class WeightedServerSelector implements ServerSelector {

    /** Factor below which latencies count as equal. */
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
