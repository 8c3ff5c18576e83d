package io.masticpond.core.limit;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Adds up, at an instance that does so for its availability zone, what the instances of the zone
 * and the other zones told of the rates. A state machine for one thread.
 *
 * @since 0.2
 */
public final class RateTotals {

    /** What an instance told so long ago counts no more. */
    private static final long KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** The same for zones, which tell half as often. */
    private static final long ZONE_KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** A sum is good for so long. */
    private static final long SUM_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * A sum, and over how many instances it goes.
     *
     * @param uses the use by the hash of the workspace
     * @param instances how many instances
     */
    public record Sum(Map<Integer, RateUsage> uses, int instances) {}

    private record ReceivedSum(Sum sum, long nanos) {}

    /** A part of what one told, which is replaced by the same part told later. */
    private record Part<T>(T reporter, int part) {

        /** Written out, since the one that records get is linked at its first use, in a start. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Part<?> that
                    && part == that.part
                    && reporter.equals(that.reporter);
        }

        @Override
        public int hashCode() {
            return 31 * reporter.hashCode() + part;
        }
    }

    private final Map<Part<InstanceId>, ReceivedSum> mInstances = new HashMap<>();
    private final Map<Integer, Sums> mSums = new HashMap<>();
    private final Map<Part<ZoneId>, ReceivedSum> mZones = new HashMap<>();

    /**
     * Takes what an instance of the own zone does; what it told before counts no more.
     *
     * @param instance the instance
     * @param part which part of its workspaces this is
     * @param uses its use by the hash of the workspace
     * @param nowNanos the monotonic time
     */
    public void received(
            InstanceId instance, int part, Map<Integer, RateUsage> uses, long nowNanos) {
        mInstances.put(new Part<>(instance, part), new ReceivedSum(new Sum(uses, 1), nowNanos));
    }

    /**
     * Takes what another zone does.
     *
     * @param zone the zone
     * @param part which part of its workspaces this is
     * @param sum the use of its instances
     * @param nowNanos the monotonic time
     */
    public void received(ZoneId zone, int part, Sum sum, long nowNanos) {
        mZones.put(new Part<>(zone, part), new ReceivedSum(sum, nowNanos));
    }

    /**
     * Gives the use of the own zone.
     *
     * @param part the part of the workspaces whose instances are counted
     * @param nowNanos the monotonic time
     * @return the sum
     */
    public Sum ofZone(int part, long nowNanos) {
        return sums(part, nowNanos).zone();
    }

    /**
     * Gives the use of all others, as one instance of the own zone needs it.
     *
     * @param instance the instance, which is left out
     * @param part the part of the workspaces whose instances are counted
     * @param nowNanos the monotonic time
     * @return the sum
     */
    public Sum forInstance(InstanceId instance, int part, long nowNanos) {
        Sums sums = sums(part, nowNanos);
        Sum all = sums.all();
        ReceivedSum own = sums.received().get(new Part<>(instance, part));
        if (own == null) {
            return all;
        }
        Map<Integer, RateUsage> uses = new HashMap<>(all.uses());
        own.sum()
                .uses()
                .forEach((hash, use) -> uses.computeIfPresent(hash, (same, sum) -> sum.minus(use)));
        return new Sum(uses, all.instances() - own.sum().instances());
    }

    /** What was added up at a moment, and of what each instance then had told. */
    private record Sums(
            Sum zone, Sum all, Map<Part<InstanceId>, ReceivedSum> received, long nanos) {}

    /** Adds up anew only now and then, since each instance of the zone asks often. */
    private Sums sums(int part, long nowNanos) {
        Sums sums = mSums.get(part);
        if (sums != null && nowNanos - sums.nanos() < SUM_NANOS) {
            return sums;
        }
        forgetOld(nowNanos);
        Adder zone = new Adder(part);
        mInstances.forEach((from, told) -> zone.add(from.part(), told.sum()));
        Adder all = new Adder(part);
        all.add(part, zone.sum());
        mZones.forEach((from, told) -> all.add(from.part(), told.sum()));
        sums = new Sums(zone.sum(), all.sum(), new HashMap<>(mInstances), nowNanos);
        mSums.put(part, sums);
        return sums;
    }

    private void forgetOld(long nowNanos) {
        mInstances.values().removeIf(told -> nowNanos - told.nanos() > KEPT_NANOS);
        mZones.values().removeIf(told -> nowNanos - told.nanos() > ZONE_KEPT_NANOS);
    }

    /** Adds up sums, and counts the instances of those that tell of one part. */
    private static final class Adder {

        private final Map<Integer, RateUsage> mUses = new HashMap<>();
        private final int mPart;
        private int mInstances;

        Adder(int part) {
            mPart = part;
        }

        void add(int part, Sum sum) {
            sum.uses().forEach((hash, use) -> mUses.merge(hash, use, RateUsage::plus));
            mInstances += part == mPart ? sum.instances() : 0;
        }

        Sum sum() {
            return new Sum(mUses, mInstances);
        }
    }
}
