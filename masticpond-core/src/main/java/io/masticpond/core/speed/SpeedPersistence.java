package io.masticpond.core.speed;

import java.util.concurrent.TimeUnit;

/**
 * Time constant with which the slowdown of a server returns from its last value to the mean of its
 * service. It is derived from pairs of successive values of the same server: among a fixed set of
 * time constants, the one is used with which the earlier value would have predicted the later one
 * best.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class SpeedPersistence {

    /** Time constant until enough pairs are known. */
    public static final long DEFAULT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Number of pairs from which on their time constant is used. */
    static final int MINIMUM_PAIRS = 200;

    /** Values further apart carry no information on any of the time constants. */
    private static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Candidates on each side of the default, in steps of the square root of 2. */
    private static final int STEPS = 8;

    private static final int CANDIDATES = 2 * STEPS + 1;

    /** Weight of the earlier pairs at each pair; about 1,000 pairs count. */
    private static final double DECAY = 0.999;

    /**
     * Part of the variance that each step away from the default must explain. Values far apart
     * predict equally little with all short time constants, and chance would choose among these.
     */
    private static final double STEP_COST = 0.002;

    private static final int SELECTION_INTERVAL = 16;

    private final double[] mCandidateNanos = new double[CANDIDATES];
    private final double[] mErrors = new double[CANDIDATES];
    private double mVariance;
    private long mPairCount;
    private double mNanos = DEFAULT_NANOS;

    /** Creates a persistence with the default time constant. */
    public SpeedPersistence() {
        for (int each = 0; each < CANDIDATES; each++) {
            mCandidateNanos[each] = DEFAULT_NANOS * Math.pow(2, (each - STEPS) / 2.0);
        }
    }

    /**
     * Records two successive values of one server.
     *
     * @param earlier the deviation of the earlier slowdown from the mean of the service
     * @param later the deviation of the later slowdown
     * @param ageNanos the time between both
     */
    public void recordPair(double earlier, double later, long ageNanos) {
        if (ageNanos <= 0 || ageNanos > MAXIMUM_AGE_NANOS) {
            return;
        }
        for (int each = 0; each < CANDIDATES; each++) {
            double predicted = earlier * Math.exp(-ageNanos / mCandidateNanos[each]);
            double error = later - predicted;
            mErrors[each] = DECAY * mErrors[each] + error * error;
        }
        mVariance = DECAY * mVariance + later * later;
        mPairCount++;
        if (mPairCount >= MINIMUM_PAIRS && mPairCount % SELECTION_INTERVAL == 0) {
            select();
        }
    }

    private void select() {
        int best = STEPS;
        double least = mErrors[STEPS];
        for (int each = 0; each < CANDIDATES; each++) {
            double error = mErrors[each] + STEP_COST * mVariance * Math.abs(each - STEPS);
            if (error < least) {
                best = each;
                least = error;
            }
        }
        mNanos = mCandidateNanos[best];
    }

    /**
     * Returns the part of a deviation from the mean that is expected to remain.
     *
     * @param ageNanos the time since the deviation was reported, not negative
     * @return the part, from 0 to 1
     */
    public double remainingPart(double ageNanos) {
        return Math.exp(-ageNanos / mNanos);
    }

    /**
     * Returns the time constant.
     *
     * @return the time constant in nanoseconds
     */
    public long nanos() {
        return (long) mNanos;
    }
}
