package io.masticpond.measure.rate;

import io.masticpond.core.limit.RateUsage;
import io.masticpond.core.limit.SharedRate;
import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.workspace.RateLimit;
import java.time.Duration;

/** Strategies for sharing the rate of a workspace among instances. */
enum RateSharingStrategy {
    /** Shared credit, as implemented by {@link SharedRate}. */
    SHARED_CREDIT {
        @Override
        InstanceRate create(RateLimit limit, int instances, long nowNanos) {
            return new SharedCredit(new SharedRate(limit, SETTINGS, instances, nowNanos));
        }
    },
    /** Each instance has an equal, fixed part of the rate. */
    FIXED_PARTS {
        @Override
        InstanceRate create(RateLimit limit, int instances, long nowNanos) {
            return new FixedPart(limit, instances, nowNanos);
        }
    },
    /**
     * Each instance admits the same share of its requests: the rate divided by the total demand.
     */
    IN_PROPORTION {
        @Override
        InstanceRate create(RateLimit limit, int instances, long nowNanos) {
            return new ProportionalShare(limit, nowNanos);
        }
    };

    /** Settings that define the bound of the rates. */
    static final SharedRateSettings SETTINGS =
            new SharedRateSettings(Duration.ofSeconds(5), 0.1, 20);

    private static final double NANOS_PER_SECOND = 1e9;

    abstract InstanceRate create(RateLimit limit, int instances, long nowNanos);

    /** Rate limiter of one instance. */
    interface InstanceRate {

        boolean tryAdmit(double draw, long nowNanos);

        RateUsage report(long nowNanos);

        void received(RateUsage others, int instanceCount, long nowNanos);

        void setInstanceCount(int instances, long nowNanos);

        void setLimit(RateLimit limit, long nowNanos);
    }

    private record SharedCredit(SharedRate rate) implements InstanceRate {

        @Override
        public boolean tryAdmit(double draw, long nowNanos) {
            boolean admits = rate.tryAdmit(draw, nowNanos);
            if (admits) {
                rate.sent(nowNanos);
            }
            return admits;
        }

        @Override
        public RateUsage report(long nowNanos) {
            return rate.report(nowNanos);
        }

        @Override
        public void received(RateUsage others, int instanceCount, long nowNanos) {
            rate.received(others, instanceCount, nowNanos);
        }

        @Override
        public void setInstanceCount(int instances, long nowNanos) {
            rate.setInstanceCount(instances, nowNanos);
        }

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            rate.applySettings(limit, SETTINGS, nowNanos);
        }
    }

    /** Token bucket with an equal part of the rate. */
    private static class FixedPart implements InstanceRate {

        private RateLimit mLimit;
        private int mInstances;
        private double mTokens;
        private long mLastNanos;

        FixedPart(RateLimit limit, int instances, long nowNanos) {
            mLimit = limit;
            mInstances = instances;
            mLastNanos = nowNanos;
        }

        @Override
        public boolean tryAdmit(double draw, long nowNanos) {
            double refill =
                    mLimit.perSecond() * (nowNanos - mLastNanos) / NANOS_PER_SECOND / mInstances;
            mTokens = Math.min(mLimit.burst() / mInstances, mTokens + refill);
            mLastNanos = nowNanos;
            if (mTokens < 1) {
                return false;
            }
            mTokens -= 1;
            return true;
        }

        @Override
        public RateUsage report(long nowNanos) {
            return RateUsage.NONE;
        }

        @Override
        public void received(RateUsage others, int instanceCount, long nowNanos) {}

        @Override
        public void setInstanceCount(int instances, long nowNanos) {
            mInstances = instances;
        }

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            mLimit = limit;
        }
    }

    /**
     * Rate limiter that admits the share of the demand that the rate covers, by the demand of the
     * other instances that was last received.
     */
    private static class ProportionalShare implements InstanceRate {

        private final SharedRate mDemandMeter;
        private RateLimit mLimit;
        private double mOthers;

        ProportionalShare(RateLimit limit, long nowNanos) {
            mLimit = limit;
            mDemandMeter = new SharedRate(limit, SETTINGS, 1, nowNanos);
        }

        @Override
        public boolean tryAdmit(double draw, long nowNanos) {
            mDemandMeter.tryAdmit(1, nowNanos);
            double demand = mOthers + mDemandMeter.demand(nowNanos);
            return draw * demand < mLimit.perSecond();
        }

        @Override
        public RateUsage report(long nowNanos) {
            return mDemandMeter.report(nowNanos);
        }

        @Override
        public void received(RateUsage others, int instanceCount, long nowNanos) {
            mOthers = others.demand();
        }

        @Override
        public void setInstanceCount(int instances, long nowNanos) {}

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            mLimit = limit;
        }
    }
}
