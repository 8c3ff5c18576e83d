package io.masticpond.measure.rate;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.RateTotals;
import io.masticpond.core.limit.RateUsage;
import io.masticpond.core.workspace.RateLimit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Simulation of a fleet that limits the rate of one workspace, on a simulated clock. */
final class RateSimulation {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(26);

    /** Time for which the instances exchange reports before the first request arrives. */
    private static final long LOAD_START_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long REPORT_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;
    private static final long ZONE_REPORT_INTERVAL_NANOS = 400 * NANOS_PER_MILLI;
    private static final long IN_REGION_DELAY_NANOS = NANOS_PER_MILLI / 5;
    private static final long BETWEEN_REGIONS_DELAY_NANOS = 21 * NANOS_PER_MILLI;

    /** Delay in seconds until an instance that is down is detected. */
    private static final double DETECTION_SECONDS = 1.5;

    /**
     * Delay in seconds from the start of an instance until it has received reports of the others
     * and sends its own.
     */
    private static final double FIRST_REPORT_SECONDS = 0.4;

    /**
     * Delay in seconds from the start of an instance to its first read of the store's list of
     * instances.
     */
    private static final double FIRST_LIST_SECONDS = 0.2;

    /** Number of other instances that an instance knows when it starts. */
    private static final int SEEDS = 3;

    private static final int WORKSPACE_HASH = 1;
    private static final double WAVE_AMPLITUDE = 0.55;
    private static final double WAVE_PERIOD_SECONDS = 36;

    private record Event(long nanos, long order, Runnable task) {}

    /** State of one simulated instance. */
    private final class Instance {

        private final int mNumber;
        private final InstanceId mId;
        private final int mZone;
        private RateSharingStrategy.InstanceRate mRate;
        private RateTotals mTotals = new RateTotals();
        private boolean mDown;
        private int mReportCount;
        private double mStarted = -DETECTION_SECONDS;

        Instance(int number) {
            mNumber = number;
            mId = new InstanceId("instance-" + number);
            mZone = number % mScenario.zones();
            mRate = mStrategy.create(limit(), mScenario.instances(), 0);
        }

        int region() {
            return mZone % mScenario.regions();
        }

        void start() {
            mDown = false;
            mStarted = mNow / NANOS_PER_SECOND;
            mTotals = new RateTotals();
            mRate = mStrategy.create(limit(), 1 + SEEDS, mNow);
        }
    }

    private final RateScenario mScenario;
    private final RateSharingStrategy mStrategy;
    private final RatePattern mPattern;
    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.nanos() != other.nanos()
                                    ? Long.compare(one.nanos(), other.nanos())
                                    : Long.compare(one.order(), other.order()));
    private final List<Instance> mInstances = new ArrayList<>();
    private final RateStatistics mStatistics;
    private long mNow;
    private long mOrder;
    private double mRateFactor = 1;

    RateSimulation(
            RateScenario scenario, RateSharingStrategy strategy, RatePattern pattern, long seed) {
        mScenario = scenario;
        mStrategy = strategy;
        mPattern = pattern;
        mRandom = new SplittableRandom(seed);
        mStatistics = new RateStatistics(RateSharingStrategy.SETTINGS);
        for (int number = 0; number < scenario.instances(); number++) {
            mInstances.add(new Instance(number));
        }
    }

    RateStatistics run() {
        for (Instance each : mInstances) {
            long phase = (long) (mRandom.nextDouble() * REPORT_INTERVAL_NANOS);
            schedule(phase, () -> report(each));
        }
        for (int zone = 0; zone < mScenario.zones(); zone++) {
            int number = zone;
            schedule(
                    (long) (mRandom.nextDouble() * ZONE_REPORT_INTERVAL_NANOS),
                    () -> reportZone(number));
        }
        schedule(0, this::applyPattern);
        schedule(LOAD_START_NANOS, this::admitNextRequest);
        while (!mEvents.isEmpty() && mEvents.peek().nanos() < END_NANOS) {
            Event event = mEvents.poll();
            mNow = event.nanos();
            event.task().run();
        }
        return mStatistics;
    }

    private void schedule(long nanos, Runnable task) {
        mEvents.add(new Event(nanos, mOrder++, task));
    }

    private double second() {
        return mNow / NANOS_PER_SECOND;
    }

    private RateLimit limit() {
        RateLimit first = mScenario.limit();
        return new RateLimit(first.perSecond() * mRateFactor, first.burst() * mRateFactor);
    }

    /**
     * Applies the faults and the rate of the pattern, and updates the number of instances that each
     * instance assumes to be alive.
     */
    private void applyPattern() {
        double factor = mPattern.rate(second());
        if (factor != mRateFactor) {
            mRateFactor = factor;
            mInstances.forEach(each -> each.mRate.setLimit(limit(), mNow));
        }
        for (Instance each : mInstances) {
            boolean down = mPattern.isDown(each.mNumber, second());
            if (each.mDown && !down) {
                each.start();
            }
            each.mDown = down;
            each.mRate.setInstanceCount(knownInstances(each), mNow);
        }
        schedule(mNow + 100 * NANOS_PER_MILLI, this::applyPattern);
    }

    private boolean canReport(Instance instance) {
        return second() - instance.mStarted >= FIRST_REPORT_SECONDS;
    }

    private int knownInstances(Instance instance) {
        boolean isListed = second() - instance.mStarted >= FIRST_LIST_SECONDS;
        return isListed ? mScenario.instances() : 1 + SEEDS;
    }

    /** Returns the aggregators of a zone: its first two instances that are not known to be down. */
    private List<Instance> aggregators(int zone) {
        List<Instance> aggregators = new ArrayList<>();
        double detectableSecond = second() - DETECTION_SECONDS;
        for (int number = zone; number < mInstances.size(); number += mScenario.zones()) {
            Instance each = mInstances.get(number);
            boolean isKnownDown = each.mDown && mPattern.isDown(number, detectableSecond);
            if (!isKnownDown && aggregators.size() < 2) {
                aggregators.add(each);
            }
        }
        return aggregators;
    }

    private void send(Instance from, Instance to, Runnable task) {
        boolean isFar = from.region() != to.region();
        boolean isLost = mRandom.nextDouble() < mPattern.lossShare();
        if (from.mDown || isLost || isFar && mPattern.isPartitioned(second())) {
            return;
        }
        long delay = isFar ? BETWEEN_REGIONS_DELAY_NANOS : IN_REGION_DELAY_NANOS;
        schedule(
                mNow + delay,
                () -> {
                    if (!to.mDown) {
                        mStatistics.recordMessage(isFar || from.mZone != to.mZone);
                        task.run();
                    }
                });
    }

    private void report(Instance instance) {
        schedule(mNow + REPORT_INTERVAL_NANOS, () -> report(instance));
        if (instance.mDown || !canReport(instance)) {
            return;
        }
        RateUsage usage = instance.mRate.report(mNow);
        List<Instance> aggregators = aggregators(instance.mZone);
        if (aggregators.isEmpty()) {
            return;
        }
        Instance aggregator = aggregators.get(instance.mReportCount++ % aggregators.size());
        if (aggregator == instance) {
            receive(aggregator, instance, usage);
        } else {
            send(instance, aggregator, () -> receive(aggregator, instance, usage));
        }
    }

    private void receive(Instance aggregator, Instance from, RateUsage usage) {
        aggregator.mTotals.received(from.mId, 0, Map.of(WORKSPACE_HASH, usage), mNow);
        RateTotals.Sum sum = aggregator.mTotals.forInstance(from.mId, 0, mNow);
        RateUsage others = sum.uses().getOrDefault(WORKSPACE_HASH, RateUsage.NONE);
        if (aggregator == from) {
            from.mRate.received(others, sum.instances(), mNow);
        } else {
            send(aggregator, from, () -> from.mRate.received(others, sum.instances(), mNow));
        }
    }

    private void reportZone(int zone) {
        schedule(mNow + ZONE_REPORT_INTERVAL_NANOS, () -> reportZone(zone));
        List<Instance> own = aggregators(zone);
        if (own.isEmpty() || own.get(0).mDown) {
            return;
        }
        RateTotals.Sum sum = own.get(0).mTotals.ofZone(0, mNow);
        ZoneId id = new ZoneId("zone-" + zone);
        for (int other = 0; other < mScenario.zones(); other++) {
            if (other != zone) {
                for (Instance aggregator : aggregators(other)) {
                    send(
                            own.get(0),
                            aggregator,
                            () -> aggregator.mTotals.received(id, 0, sum, mNow));
                }
            }
        }
    }

    /**
     * Draws the region of a request. The load of each region is a sine wave, whose phase differs
     * from region to region.
     */
    private int drawRegion() {
        double[] weights = new double[mScenario.regions()];
        double sum = 0;
        for (int region = 0; region < weights.length; region++) {
            double phase = (double) region / weights.length + second() / WAVE_PERIOD_SECONDS;
            weights[region] = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * phase);
            sum += weights[region];
        }
        double draw = mRandom.nextDouble() * sum;
        int region = 0;
        while (draw >= weights[region] && region < weights.length - 1) {
            draw -= weights[region++];
        }
        return region;
    }

    private void admitNextRequest() {
        double load = mScenario.typicalRate() * mPattern.load(second());
        double intervalSeconds = -Math.log(1 - mRandom.nextDouble()) / load;
        schedule(mNow + (long) (intervalSeconds * NANOS_PER_SECOND), this::admitNextRequest);
        int region = drawRegion();
        List<Instance> near =
                mInstances.stream().filter(each -> each.region() == region && !each.mDown).toList();
        if (near.isEmpty()) {
            return;
        }
        Instance target = near.get(mRandom.nextInt(near.size()));
        boolean isAdmitted = target.mRate.tryAdmit(mRandom.nextDouble(), mNow);
        mStatistics.recordRequest(isAdmitted, limit(), mNow);
    }
}
