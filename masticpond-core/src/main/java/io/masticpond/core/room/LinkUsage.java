package io.masticpond.core.room;

import io.masticpond.core.id.RegionId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimate of how much of the bandwidth of the links to other regions the requests of this region
 * use, and the steps by which the weights of the other regions are lowered for that reason. The
 * bytes of the region are those of this instance times the number of its instances. Requests use
 * the link in one direction and responses in the other, so the greater of both counts.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class LinkUsage {

    /** Usage from which on the weight is lowered; the rest is left to control and to bursts. */
    static final double FULL = 0.8;

    /** Usage below which the weight rises; a step changes the usage by at most a sixth. */
    private static final double FREE = 0.6;

    /**
     * Smooths single large responses: 540 kB, counted for 8 instances, are a sixth of what a link
     * of 224 Mbit/s carries in a second.
     */
    private static final double SMOOTHING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1e6;

    private final Map<RegionId, Link> mLinks = new HashMap<>();
    private long mUpdatedNanos;
    private boolean mIsUpdated;

    /**
     * Records the bytes of a request to a server of another region and of its response.
     *
     * @param region the region of the server
     * @param sentBytes the bytes of the request
     * @param receivedBytes the bytes of the response
     */
    public void record(RegionId region, long sentBytes, long receivedBytes) {
        Link link = mLinks.computeIfAbsent(region, id -> new Link());
        link.mSentBytes += sentBytes;
        link.mReceivedBytes += receivedBytes;
    }

    /**
     * Updates the estimates and the steps. To be called several times a second.
     *
     * @param instances the number of instances of this region
     * @param megabits the bandwidth of a link in Mbit/s, 0 if it is not limited
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void update(int instances, int megabits, long nowNanos) {
        double elapsed = mIsUpdated ? nowNanos - mUpdatedNanos : 0;
        mUpdatedNanos = nowNanos;
        if (!mIsUpdated) {
            mIsUpdated = true;
            mLinks.values().forEach(Link::reset);
            return;
        }
        if (elapsed <= 0) {
            return;
        }
        for (Link link : mLinks.values()) {
            link.update(instances, elapsed);
            link.adjust(megabits, nowNanos);
        }
    }

    /**
     * Returns the estimated use of the link to a region.
     *
     * @param region the region
     * @return bytes per second of all instances of this region, in the direction with more
     */
    public double bytesPerSecond(RegionId region) {
        Link link = mLinks.get(region);
        return link == null ? 0 : link.bytesPerSecond();
    }

    /**
     * Returns the steps by which the weights of other regions are to be lowered.
     *
     * @return the steps by region, 0 for missing regions
     */
    public Map<RegionId, Integer> steps() {
        Map<RegionId, Integer> steps = new HashMap<>();
        mLinks.forEach((region, link) -> steps.put(region, link.mSteps));
        return steps;
    }

    /** Use of the link to one region. */
    private static final class Link {

        private long mSentBytes;
        private long mReceivedBytes;
        private double mSentPerSecond;
        private double mReceivedPerSecond;
        private int mSteps;
        private long mStepNanos;

        void update(int instances, double elapsedNanos) {
            double weight = -Math.expm1(-elapsedNanos / SMOOTHING_NANOS);
            double perSecond = instances * TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
            mSentPerSecond += weight * (mSentBytes * perSecond - mSentPerSecond);
            mReceivedPerSecond += weight * (mReceivedBytes * perSecond - mReceivedPerSecond);
            reset();
        }

        void reset() {
            mSentBytes = 0;
            mReceivedBytes = 0;
        }

        double bytesPerSecond() {
            return Math.max(mSentPerSecond, mReceivedPerSecond);
        }

        void adjust(int megabits, long nowNanos) {
            if (mStepNanos != 0 && nowNanos - mStepNanos < STEP_NANOS) {
                return;
            }
            double used =
                    megabits == 0
                            ? 0
                            : bytesPerSecond() * BITS_PER_BYTE / (megabits * BITS_PER_MEGABIT);
            if (used > FULL && mSteps < RegionRoom.MAXIMUM_STEPS) {
                mSteps++;
                mStepNanos = nowNanos;
            } else if (used < FREE && mSteps > 0) {
                mSteps--;
                mStepNanos = nowNanos;
            }
        }
    }
}
