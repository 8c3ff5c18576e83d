package io.masticpond.core.capacity;

import io.masticpond.core.limit.RefusalCause;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * State of the callers of one priority and workspace at a service: their credit, their times of
 * return and their refusals.
 *
 * <p>Each request that arrives earns the part of a request that is within the share, and a request
 * is within the share while the credit is a whole request. So the share is kept exactly on average
 * with a few requests per second, without a bucket that is smaller than one request.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 */
final class CallerGroup {

    /** Maximum credit in requests, which bounds the burst of a group that was idle. */
    private static final double MAXIMUM_CREDIT = 2;

    /** Sums of parts of a request are not exact. */
    private static final double ROUNDING = 1e-9;

    /**
     * Time over which the usual demand is measured that returning clients must leave room for. It
     * is much longer than a burst and much shorter than a wave of demand.
     */
    private static final long USUAL_DEMAND_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Minimum part of the share that is assigned to returning clients. A share that is used up by
     * new requests would otherwise give no order to the clients that return.
     */
    private static final double MINIMUM_RETURN_PART = 0.25;

    private final String mWorkspace;
    private final ReturnSchedule mSchedule;
    private final DecayingRate mUsualDemand = new DecayingRate(USUAL_DEMAND_NANOS);
    private final Map<RefusalCause, RecentCount> mRefusals = new EnumMap<>(RefusalCause.class);
    private final BaselineDemand mBaseline = new BaselineDemand();
    private boolean mIsWithinBaseline = true;
    private double mCredit = 1;
    private long mArrivedNanos;

    CallerGroup(String workspace, ReturnSchedule schedule) {
        mWorkspace = workspace;
        mSchedule = schedule;
    }

    /**
     * Records a request that arrives.
     *
     * @param part the part of the requests that is within the share
     * @param growth how much more than usual all groups send, at least 1
     * @param minimumPerSecond the rate up to which no request is in excess of the usual demand
     */
    void arrived(double part, double growth, double minimumPerSecond, long nowNanos) {
        mIsWithinBaseline = mBaseline.arrived(growth, minimumPerSecond, nowNanos);
        mCredit = Math.min(MAXIMUM_CREDIT, mCredit + part);
        mUsualDemand.add(nowNanos);
        mArrivedNanos = nowNanos;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Determines whether the request that arrived last is within the usual demand. */
    boolean isWithinBaseline() {
        return mIsWithinBaseline;
    }

    /** Returns the usual demand. */
    double baselinePerSecond(long nowNanos) {
        return mBaseline.perSecond(nowNanos);
    }

    boolean hasCredit() {
        return mCredit >= 1 - ROUNDING;
    }

    /** Uses the credit of an admitted request, as far as there is any. */
    void admitted() {
        mCredit = Math.max(0, mCredit - 1);
    }

    /**
     * Refuses a request and assigns its time of return.
     *
     * @param excessNanos how much longer than permitted the request would wait
     * @param sharePerSecond the requests per second of this instance within the share
     * @return the pause in nanoseconds
     */
    long refused(
            RefusalCause cause,
            long excessNanos,
            double sharePerSecond,
            long leftNanos,
            long nowNanos) {
        mRefusals.computeIfAbsent(cause, each -> new RecentCount()).add(1, nowNanos);
        double free =
                Math.max(
                        sharePerSecond - mUsualDemand.perSecond(nowNanos),
                        sharePerSecond * MINIMUM_RETURN_PART);
        return mSchedule.assign(excessNanos, free, leftNanos, nowNanos);
    }

    /** Records a refusal of the wrapped gate, which states the pause itself. */
    void refusedByWait(long nowNanos) {
        mRefusals
                .computeIfAbsent(RefusalCause.OVERLOAD, each -> new RecentCount())
                .add(1, nowNanos);
    }

    /** Takes back the last refusal, since another server took the request. */
    void withdrawRefusal(RefusalCause cause, boolean isScheduled, long nowNanos) {
        mRefusals.get(cause).add(-1, nowNanos);
        if (isScheduled) {
            mSchedule.withdrawLast();
        }
    }

    void addRefusals(int priority, List<ServiceLoadView.RefusalCount> counts, long nowNanos) {
        mRefusals.forEach(
                (cause, refusals) -> {
                    long count = refusals.sum(nowNanos);
                    if (count > 0) {
                        counts.add(
                                new ServiceLoadView.RefusalCount(
                                        priority, mWorkspace, cause.text(), count));
                    }
                });
    }
}
