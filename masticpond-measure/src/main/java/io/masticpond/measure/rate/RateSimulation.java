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

/** A fleet that keeps the rate of one workspace, on a simulated clock. */
final class RateSimulation {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double SECOND = 1e9;
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(26);

    /** Instances know each other before the first clients come. */
    private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long TELL_NANOS = 200 * MILLI;
    private static final long TELL_ZONES_NANOS = 400 * MILLI;
    private static final long IN_ZONE_NANOS = MILLI / 5;
    private static final long BETWEEN_REGIONS_NANOS = 21 * MILLI;

    /** Silence is noticed so late, and those that start hear of the others so late. */
    private static final double NOTICED_SECONDS = 1.5;

    private static final double HEARD_SECONDS = 0.4;

    /** The store's list of instances is read so soon after a start. */
    private static final double LISTED_SECONDS = 0.2;

    /** Who just started knows of these. */
    private static final int SEEDS = 3;

    private static final int HASH = 1;
    private static final double SWING = 0.55;
    private static final double WAVE_SECONDS = 36;

    private record Event(long nanos, long order, Runnable task) {}

    /** One instance with what it knows. */
    private final class Instance {

        private final int mNumber;
        private final InstanceId mId;
        private final int mZone;
        private RateSharingStrategy.InstanceRate mRate;
        private RateTotals mTotals = new RateTotals();
        private boolean mDown;
        private int mTurn;
        private double mStarted = -NOTICED_SECONDS;

        Instance(int number) {
            mNumber = number;
            mId = new InstanceId("instance-" + number);
            mZone = number % mShape.zones();
            mRate = mWay.make(limit(), mShape.instances(), 0);
        }

        int region() {
            return mZone % mShape.regions();
        }

        void start() {
            mDown = false;
            mStarted = mNow / SECOND;
            mTotals = new RateTotals();
            mRate = mWay.make(limit(), 1 + SEEDS, mNow);
        }
    }

    private final RateScenario mShape;
    private final RateSharingStrategy mWay;
    private final RatePattern mPattern;
    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.nanos() != other.nanos()
                                    ? Long.compare(one.nanos(), other.nanos())
                                    : Long.compare(one.order(), other.order()));
    private final List<Instance> mInstances = new ArrayList<>();
    private final RateStatistics mTally;
    private long mNow;
    private long mOrder;
    private double mRateFactor = 1;

    RateSimulation(RateScenario shape, RateSharingStrategy way, RatePattern pattern, long seed) {
        mShape = shape;
        mWay = way;
        mPattern = pattern;
        mRandom = new SplittableRandom(seed);
        mTally = new RateStatistics(RateSharingStrategy.SETTINGS);
        for (int number = 0; number < shape.instances(); number++) {
            mInstances.add(new Instance(number));
        }
    }

    RateStatistics run() {
        for (Instance each : mInstances) {
            long phase = (long) (mRandom.nextDouble() * TELL_NANOS);
            at(phase, () -> tell(each));
        }
        for (int zone = 0; zone < mShape.zones(); zone++) {
            int number = zone;
            at((long) (mRandom.nextDouble() * TELL_ZONES_NANOS), () -> tellZone(number));
        }
        at(0, this::look);
        at(QUIET_NANOS, this::arrive);
        while (!mEvents.isEmpty() && mEvents.peek().nanos() < END_NANOS) {
            Event event = mEvents.poll();
            mNow = event.nanos();
            event.task().run();
        }
        return mTally;
    }

    private void at(long nanos, Runnable task) {
        mEvents.add(new Event(nanos, mOrder++, task));
    }

    private double second() {
        return mNow / SECOND;
    }

    private RateLimit limit() {
        RateLimit first = mShape.limit();
        return new RateLimit(first.perSecond() * mRateFactor, first.burst() * mRateFactor);
    }

    /** Sees what is down, and how many each instance believes to be alive. */
    private void look() {
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
            each.mRate.instances(all(each), mNow);
        }
        at(mNow + 100 * MILLI, this::look);
    }

    private boolean hasHeard(Instance instance) {
        return second() - instance.mStarted >= HEARD_SECONDS;
    }

    private int all(Instance instance) {
        boolean isListed = second() - instance.mStarted >= LISTED_SECONDS;
        return isListed ? mShape.instances() : 1 + SEEDS;
    }

    /** The two that add up for a zone: the first ones that are not known to be gone. */
    private List<Instance> adders(int zone) {
        List<Instance> adders = new ArrayList<>();
        double noticed = second() - NOTICED_SECONDS;
        for (int number = zone; number < mInstances.size(); number += mShape.zones()) {
            Instance each = mInstances.get(number);
            boolean isGone = each.mDown && mPattern.isDown(number, noticed);
            if (!isGone && adders.size() < 2) {
                adders.add(each);
            }
        }
        return adders;
    }

    private void send(Instance from, Instance to, Runnable task) {
        boolean isFar = from.region() != to.region();
        boolean isLost = mRandom.nextDouble() < mPattern.lost();
        if (from.mDown || isLost || isFar && mPattern.isCut(second())) {
            return;
        }
        long delay = isFar ? BETWEEN_REGIONS_NANOS : IN_ZONE_NANOS;
        at(
                mNow + delay,
                () -> {
                    if (!to.mDown) {
                        mTally.message(isFar || from.mZone != to.mZone);
                        task.run();
                    }
                });
    }

    private void tell(Instance instance) {
        at(mNow + TELL_NANOS, () -> tell(instance));
        if (instance.mDown || !hasHeard(instance)) {
            return;
        }
        RateUsage use = instance.mRate.report(mNow);
        List<Instance> adders = adders(instance.mZone);
        if (adders.isEmpty()) {
            return;
        }
        Instance adder = adders.get(instance.mTurn++ % adders.size());
        if (adder == instance) {
            hear(adder, instance, use);
        } else {
            send(instance, adder, () -> hear(adder, instance, use));
        }
    }

    private void hear(Instance adder, Instance from, RateUsage use) {
        adder.mTotals.received(from.mId, 0, Map.of(HASH, use), mNow);
        RateTotals.Sum sum = adder.mTotals.forInstance(from.mId, 0, mNow);
        RateUsage others = sum.uses().getOrDefault(HASH, RateUsage.NONE);
        if (adder == from) {
            from.mRate.received(others, sum.instances(), mNow);
        } else {
            send(adder, from, () -> from.mRate.received(others, sum.instances(), mNow));
        }
    }

    private void tellZone(int zone) {
        at(mNow + TELL_ZONES_NANOS, () -> tellZone(zone));
        List<Instance> own = adders(zone);
        if (own.isEmpty() || own.get(0).mDown) {
            return;
        }
        RateTotals.Sum sum = own.get(0).mTotals.ofZone(0, mNow);
        ZoneId id = new ZoneId("zone-" + zone);
        for (int other = 0; other < mShape.zones(); other++) {
            if (other != zone) {
                for (Instance adder : adders(other)) {
                    send(own.get(0), adder, () -> adder.mTotals.received(id, 0, sum, mNow));
                }
            }
        }
    }

    /** The load of each region is a wave, at its peak when that of another is low. */
    private int drawRegion() {
        double[] parts = new double[mShape.regions()];
        double sum = 0;
        for (int region = 0; region < parts.length; region++) {
            double phase = (double) region / parts.length + second() / WAVE_SECONDS;
            parts[region] = 1 + SWING * Math.sin(2 * Math.PI * phase);
            sum += parts[region];
        }
        double draw = mRandom.nextDouble() * sum;
        int region = 0;
        while (draw >= parts[region] && region < parts.length - 1) {
            draw -= parts[region++];
        }
        return region;
    }

    private void arrive() {
        double load = mShape.typicalRate() * mPattern.load(second());
        double gap = -Math.log(1 - mRandom.nextDouble()) / load;
        at(mNow + (long) (gap * SECOND), this::arrive);
        int region = drawRegion();
        List<Instance> near =
                mInstances.stream().filter(each -> each.region() == region && !each.mDown).toList();
        if (near.isEmpty()) {
            return;
        }
        Instance at = near.get(mRandom.nextInt(near.size()));
        boolean isAdmitted = at.mRate.tryAdmit(mRandom.nextDouble(), mNow);
        mTally.arrived(isAdmitted, limit(), mNow);
    }
}
