package io.masticpond.core.speed;

import io.masticpond.core.id.RouteId;
import java.util.HashMap;
import java.util.Map;

/**
 * Speed of the servers of one service: the distribution of their slowdowns, how long these persist,
 * and the run times with the slowdown divided out.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ServiceSpeed {

    /** Greatest slowdown that is learned from, so that a false report changes the mean little. */
    private static final double MAXIMUM_LEARNED = 10;

    /** Classes of slowdowns per octave. */
    private static final double CLASSES_PER_OCTAVE = 4;

    private static final double LOG_OF_TWO = Math.log(2);

    /** Number of classes, from the slowdown 0.5 to 11. */
    private static final int CLASSES = 19;

    private static final int FIRST_CLASS = -4;

    /** Weight of the earlier values at each value; about 1,000 values count. */
    private static final double DECAY = 0.999;

    private static final double LEAST_CLASS_WEIGHT = 0.005;
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Ratio of the scale of a logistic distribution to its standard deviation. */
    private static final double LOGISTIC_SCALE = Math.sqrt(3) / Math.PI;

    /** Maximum number of routes with times of their own, which bounds the memory. */
    private static final int MAXIMUM_ROUTES = 100;

    private final SpeedPersistence mPersistence = new SpeedPersistence();
    private final Map<RouteId, RunTimes> mRunTimes = new HashMap<>();
    private final double[] mWeights = new double[CLASSES];
    private final double[] mSums = new double[CLASSES];
    private double mWeight;
    private double mSum;
    private double mMeanRunNanos;
    private double mOccupancy;

    /**
     * Records a value that a server reported to this instance, and learns from it.
     *
     * @param server the speed of the server, which is updated
     * @param timePercent the reported duration of work in percent, positive
     * @param nowNanos the current monotonic time
     */
    public void record(ServerSpeed server, int timePercent, long nowNanos) {
        double slowdown = Math.min(MAXIMUM_LEARNED, ServerSpeed.slowdown(timePercent));
        if (server.isReported()) {
            double previous = Math.min(MAXIMUM_LEARNED, server.reportedSlowdown());
            mPersistence.recordPair(
                    previous - meanSlowdown(),
                    slowdown - meanSlowdown(),
                    server.ageNanos(nowNanos));
        }
        for (int each = 0; each < CLASSES; each++) {
            mWeights[each] *= DECAY;
            mSums[each] *= DECAY;
        }
        int index = (int) Math.round(CLASSES_PER_OCTAVE * Math.log(slowdown) / LOG_OF_TWO);
        mWeights[index - FIRST_CLASS]++;
        mSums[index - FIRST_CLASS] += slowdown;
        mWeight = DECAY * mWeight + 1;
        mSum = DECAY * mSum + slowdown;
        server.record(timePercent, nowNanos);
    }

    /**
     * Records the load of a server relative to its slots.
     *
     * @param requestsPerSlot the running and waiting requests per slot
     */
    public void recordOccupancy(double requestsPerSlot) {
        mOccupancy += SMOOTHING_FACTOR * (requestsPerSlot - mOccupancy);
    }

    /**
     * Records the time of a run that did not wait for a slot. Runs at a server with an implausible
     * slowdown are ignored.
     *
     * @param route the route
     * @param rank the rank of the server among the homes of the key, from 0
     * @param nanos the time of the run
     * @param slowdown the slowdown of the server during the run
     */
    public void recordRun(RouteId route, int rank, double nanos, double slowdown) {
        if (nanos <= 0 || slowdown > MAXIMUM_LEARNED) {
            return;
        }
        double normal = nanos / slowdown;
        mMeanRunNanos =
                mMeanRunNanos == 0
                        ? normal
                        : mMeanRunNanos + SMOOTHING_FACTOR * (normal - mMeanRunNanos);
        RunTimes times = mRunTimes.get(route);
        if (times == null && mRunTimes.size() < MAXIMUM_ROUTES) {
            times = new RunTimes();
            mRunTimes.put(route, times);
        }
        if (times != null) {
            times.record(normal, rank);
        }
    }

    /**
     * Returns the run times of a route.
     *
     * @param route the route
     * @return the times, or {@code null} if too few runs are known to predict others
     */
    public RunTimes runTimes(RouteId route) {
        RunTimes times = mRunTimes.get(route);
        return times != null && times.isKnown() ? times : null;
    }

    /**
     * Returns the mean time of all runs at the normal speed.
     *
     * @return nanoseconds, 0 before the first run
     */
    public double meanRunNanos() {
        return mMeanRunNanos;
    }

    /**
     * Returns the mean of the running and waiting requests per slot.
     *
     * @return the mean
     */
    public double occupancy() {
        return mOccupancy;
    }

    /**
     * Returns the persistence of the slowdowns.
     *
     * @return the persistence
     */
    public SpeedPersistence persistence() {
        return mPersistence;
    }

    /**
     * Returns the long-term mean of the slowdowns.
     *
     * @return the mean, 1 before the first value
     */
    public double meanSlowdown() {
        return mWeight == 0 ? 1 : mSum / mWeight;
    }

    /**
     * Returns the expected slowdown of a server.
     *
     * @param server the speed of the server
     * @param ageNanos the age of its last value at the time of interest
     * @return the slowdown
     */
    public double expectedSlowdown(ServerSpeed server, double ageNanos) {
        double mean = meanSlowdown();
        return server.isReported()
                ? mean + (server.reportedSlowdown() - mean) * mPersistence.remainingPart(ageNanos)
                : mean;
    }

    /**
     * Returns the mean of the expected slowdown of a server over a time from now.
     *
     * @param server the speed of the server
     * @param ageNanos the age of its last value
     * @param durationNanos the length of the time
     * @return the slowdown
     */
    public double meanExpectedSlowdown(ServerSpeed server, double ageNanos, double durationNanos) {
        double mean = meanSlowdown();
        double deviation = expectedSlowdown(server, ageNanos) - mean;
        double constants = durationNanos / mPersistence.nanos();
        return mean
                + (constants < 0.01 ? deviation : deviation * -Math.expm1(-constants) / constants);
    }

    /**
     * Returns the probability that a run ends within a time. The server either still has its last
     * slowdown or one drawn from the distribution of the service; the expected slowdown alone would
     * hide that either of them may be in time.
     *
     * @param server the speed of the server
     * @param ageNanos the age of its last value at the beginning of the run
     * @param runNanos the time of the run at the normal speed
     * @param spread the standard deviation of the logarithm of that time
     * @param withinNanos the time within which the run has to end
     * @return the probability
     */
    public double probabilityWithin(
            ServerSpeed server,
            double ageNanos,
            double runNanos,
            double spread,
            double withinNanos) {
        if (withinNanos <= 0) {
            return 0;
        }
        double logarithm = Math.log(withinNanos / runNanos);
        double scale = LOGISTIC_SCALE * spread;
        double remaining = server.isReported() ? mPersistence.remainingPart(ageNanos) : 0;
        double last =
                remaining == 0
                        ? 0
                        : remaining * within(logarithm, server.reportedSlowdown(), scale);
        return last + (1 - remaining) * meanWithin(logarithm, scale);
    }

    /**
     * Returns the probability that a run at a server of which nothing is known ends within a time.
     *
     * @param runNanos the time of the run at the normal speed
     * @param spread the standard deviation of the logarithm of that time
     * @param withinNanos the time within which the run has to end
     * @return the probability
     */
    public double meanProbabilityWithin(double runNanos, double spread, double withinNanos) {
        return withinNanos <= 0
                ? 0
                : meanWithin(Math.log(withinNanos / runNanos), LOGISTIC_SCALE * spread);
    }

    private double meanWithin(double logarithm, double scale) {
        if (mWeight == 0) {
            return within(logarithm, 1, scale);
        }
        double sum = 0;
        double weight = 0;
        for (int each = 0; each < CLASSES; each++) {
            if (mWeights[each] > LEAST_CLASS_WEIGHT * mWeight) {
                double slowdown = mSums[each] / mWeights[each];
                sum += mWeights[each] * within(logarithm, slowdown, scale);
                weight += mWeights[each];
            }
        }
        return sum / weight;
    }

    private static double within(double logarithm, double slowdown, double scale) {
        return 1 / (1 + Math.exp((Math.log(slowdown) - logarithm) / scale));
    }
}
