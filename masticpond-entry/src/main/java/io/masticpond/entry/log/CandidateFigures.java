package io.masticpond.entry.log;

/**
 * Figures on which the choice of a backend server is based.
 *
 * @param inFlight the estimated number of requests in flight at the server
 * @param slots the number of requests that the server runs concurrently
 * @param score the score of the server; the highest is selected
 * @param expectedNanos the expected latency, or {@link RequestRecord#UNKNOWN} if the score is not
 *     based on it
 * @param speedAgeNanos the age of the slowdown that the server reported, or {@link
 *     RequestRecord#UNKNOWN}
 * @since 0.3
 */
public record CandidateFigures(
        int inFlight, int slots, double score, long expectedNanos, long speedAgeNanos) {

    /**
     * Creates the figures of a choice that is not based on latencies.
     *
     * @param inFlight the estimated number of requests in flight at the server
     * @param slots the number of requests that the server runs concurrently
     * @param score the score of the server; the highest is selected
     */
    public CandidateFigures(int inFlight, int slots, double score) {
        this(inFlight, slots, score, RequestRecord.UNKNOWN, RequestRecord.UNKNOWN);
    }
}
