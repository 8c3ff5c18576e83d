package io.masticpond.core.placement;

import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.speed.ExpectedLatency;
import io.masticpond.core.speed.RunTimes;
import io.masticpond.core.speed.ServiceSpeed;
import java.util.Optional;

/**
 * {@link ServerScorer} by the expected value of the answer: the probability that it arrives within
 * the target latency or at least before the deadline, less the cost to other requests. This cost is
 * the time that a run occupies a slot, the delay of later requests while there is a queue, and the
 * eviction of another object. A request at another server than the first home of its key takes a
 * place in the cache there in any case, either now or for as long as it is requested there.
 *
 * @since 0.3
 */
final class LatencyScorer implements ServerScorer {

    /**
     * Value of a late answer relative to one in time. A client still uses a late answer, so a
     * server that answers late is better than one that does not answer before the deadline.
     */
    private static final double LATE_VALUE = 0.2;

    /**
     * Number of servers after the homes that are compared, in case all homes are slow. The order of
     * the servers differs between keys, so that instances that see the same report of a slow server
     * move its keys to different servers. More servers spread the objects over more caches: with
     * three, the part of cache hits was up to 0.09 lower in trials.
     */
    private static final int FURTHER_SERVERS = 1;

    /**
     * Advantage that another server than the first home must have, since smaller differences are
     * within the errors of the estimates, and a key that moves costs a miss.
     */
    private static final double MOVE_COST = 0.05;

    /**
     * Further advantage that a server of another region must have. It keeps differences between
     * regions from moving more requests than the bound on them.
     */
    private static final double REGION_MOVE_COST = 0.1;

    /**
     * Further misses per eviction relative to the share of misses. An evicted object is hardly
     * requested again while nearly all requests are hits, as the caches then hold more objects than
     * are in use.
     */
    private static final double EVICTIONS_PER_MISS = 4;

    /**
     * Cost of the time in a slot, in units of the target, when all slots of the service are in use.
     * With twice the value, the answers in trials were worth up to 0.01 less.
     */
    private static final double SLOT_COST = 1;

    /**
     * Part of the delay of later requests that counts as cost. All of it is not counted, since the
     * queue is known from reports that are some 100 ms old: with a factor of 2 keys move so often
     * that the part of cache hits falls by up to a half.
     */
    private static final double QUEUE_COST = 0.2;

    /** Least part of free slots with which the length of a busy period is computed. */
    private static final double LEAST_FREE = 0.2;

    /** Cost of the expected latency in units of the target, which decides if nothing else does. */
    private static final double LATENCY_COST = 0.05;

    /** Relative error of an expected wait, as loads are some 100 ms old. */
    private static final double WAIT_SPREAD = 0.5;

    /** Requests by which the estimated number at a server differs from the actual one. */
    private static final double IN_FLIGHT_ERROR = 0.5;

    private final PlacementSettings mSettings;
    private final CallOutlierDetector mOutlierDetector;
    private final ServiceSpeed mService;
    private final RunTimes mTimes;
    private final RoundTrips mRoundTrips;
    private final int mRounds;
    private final double mTargetNanos;
    private final double mLeftNanos;
    private final long mNowNanos;
    private final double mSlotCost;
    private final double mQueueCost;
    private final double mMissCost;

    /**
     * Creates a scorer for one request.
     *
     * @param settings the weights of the criteria
     * @param outlierDetector the detector of servers that fail or are slow
     * @param service the speed of the servers
     * @param times the run times of the route
     * @param roundTrips the round trip times
     * @param rounds the round trips that an answer takes
     * @param request the request
     * @param nowNanos the current monotonic time
     */
    LatencyScorer(
            PlacementSettings settings,
            CallOutlierDetector outlierDetector,
            ServiceSpeed service,
            RunTimes times,
            RoundTrips roundTrips,
            int rounds,
            PlacementRequest request,
            long nowNanos) {
        mSettings = settings;
        mOutlierDetector = outlierDetector;
        mService = service;
        mTimes = times;
        mRoundTrips = roundTrips;
        mRounds = rounds;
        mLeftNanos = request.leftNanos();
        mTargetNanos = Math.min(request.route().targetLatency().toNanos(), mLeftNanos);
        mNowNanos = nowNanos;
        double occupancy = service.occupancy();
        double perNanos = (1 - LATE_VALUE) / Math.max(1, mTargetNanos);
        double free = Math.max(LEAST_FREE, 1 - occupancy);
        mSlotCost = SLOT_COST * occupancy * occupancy * perNanos;
        mQueueCost = QUEUE_COST * Math.min(1, occupancy) / free * perNanos;
        mMissCost = missCost();
    }

    /**
     * Returns the loss by an evicted object: with the probability that it is requested again, a
     * request for it becomes a miss.
     */
    private double missCost() {
        double hit = withinTargetOnAverage(mTimes.hitNanos());
        double miss = withinTargetOnAverage(mTimes.missNanos());
        double longerNanos = mTimes.missNanos() - mTimes.hitNanos();
        double loss = (1 - LATE_VALUE) * Math.max(0, hit - miss) + slotCost(longerNanos, 0);
        double missProbability = 1 - mTimes.holdProbability(0);
        return Math.min(1, EVICTIONS_PER_MISS * missProbability) * loss;
    }

    /**
     * Returns the cost of a run to later requests: the time in a slot, and the delay of those that
     * arrive while the server has a queue. The number of these is the rate of requests times the
     * time until the queue is empty, and each is delayed by the time of the run per slot.
     */
    private double slotCost(double nanos, double waitNanos) {
        return nanos * (mSlotCost + mQueueCost * waitNanos / mService.meanRunNanos());
    }

    private double withinTargetOnAverage(double runNanos) {
        return mService.meanProbabilityWithin(runNanos, mTimes.spread(), mTargetNanos);
    }

    @Override
    public ServerChoice score(ServerLoad server, int rank) {
        double waitNanos = waitNanos(server);
        double transferNanos = transferNanos(server);
        double hold = mTimes.holdProbability(rank);
        double normalNanos = hold * mTimes.hitNanos() + (1 - hold) * mTimes.missNanos();
        double ageNanos = server.speed().ageNanos(mNowNanos) + waitNanos;
        double runNanos = normalNanos * mService.expectedSlowdown(server.speed(), ageNanos);
        double elapsedNanos = waitNanos + transferNanos;
        double spread =
                Math.hypot(mTimes.spread(), WAIT_SPREAD * waitNanos / (waitNanos + runNanos));
        double inTime = within(server, hold, ageNanos, spread, mTargetNanos - elapsedNanos);
        double answered = within(server, hold, ageNanos, spread, mLeftNanos - elapsedNanos);
        long reportAgeNanos = server.speed().isReported() ? server.speed().ageNanos(mNowNanos) : -1;
        ExpectedLatency expected =
                new ExpectedLatency(waitNanos, runNanos, transferNanos, inTime, reportAgeNanos);
        double target = Math.max(1, mTargetNanos);
        double score =
                LATE_VALUE * answered
                        + (1 - LATE_VALUE) * inTime
                        - LATENCY_COST * expected.totalNanos() / target
                        - slotCost(runNanos, waitNanos)
                        - mMissCost * (rank == 0 ? 1 - hold : 1)
                        - moveCost(server, rank)
                        - mSettings.failing() * failing(server);
        return new ServerChoice(server, score, rank, Optional.of(expected));
    }

    @Override
    public ServerChoice scoreAlternative(ServerLoad server, int rank) {
        return score(server, rank);
    }

    private double within(
            ServerLoad server, double hold, double ageNanos, double spread, double nanos) {
        double hit =
                mService.probabilityWithin(
                        server.speed(), ageNanos, mTimes.hitNanos(), spread, nanos);
        double miss =
                mService.probabilityWithin(
                        server.speed(), ageNanos, mTimes.missNanos(), spread, nanos);
        return hold * hit + (1 - hold) * miss;
    }

    /**
     * Returns the expected wait for a slot. The number of requests at the server is known roughly,
     * so a server that is nearly full counts as having a short queue.
     */
    private double waitNanos(ServerLoad server) {
        double slots = server.server().slots();
        double inFlight = server.expectedInFlight(mService.occupancy(), mNowNanos);
        double excess = inFlight + 1 - slots;
        double ahead =
                excess > 0
                        ? excess + IN_FLIGHT_ERROR * Math.log1p(Math.exp(-excess / IN_FLIGHT_ERROR))
                        : IN_FLIGHT_ERROR * Math.log1p(Math.exp(excess / IN_FLIGHT_ERROR));
        double normalNanos = ahead / slots * mService.meanRunNanos();
        double ageNanos = server.speed().ageNanos(mNowNanos);
        double longestNanos = normalNanos * mService.expectedSlowdown(server.speed(), ageNanos);
        return normalNanos * mService.meanExpectedSlowdown(server.speed(), ageNanos, longestNanos);
    }

    private double transferNanos(ServerLoad server) {
        int rounds = mRounds + (server.hasIdleConnection(mNowNanos) ? 0 : 1);
        return rounds * mRoundTrips.nanos(server.distance());
    }

    private static double moveCost(ServerLoad server, int rank) {
        if (rank == 0) {
            return 0;
        }
        return server.distance() == Distance.OTHER_REGION
                ? MOVE_COST + REGION_MOVE_COST
                : MOVE_COST;
    }

    private double failing(ServerLoad server) {
        return mOutlierDetector.penalty(server.server().service(), server.server().id(), mNowNanos);
    }

    @Override
    public int comparedHomes() {
        return mSettings.homes() + FURTHER_SERVERS;
    }

    /** Determines whether the best server does not fail, since all others may do so together. */
    @Override
    public boolean isSufficient(ServerChoice best) {
        return failing(best.load()) == 0;
    }
}
