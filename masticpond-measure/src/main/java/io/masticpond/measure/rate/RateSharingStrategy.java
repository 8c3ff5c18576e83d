package io.masticpond.measure.rate;

import io.masticpond.core.limit.RateUsage;
import io.masticpond.core.limit.SharedRate;
import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.workspace.RateLimit;
import java.time.Duration;

/** A way to share a rate among instances. */
enum RateSharingStrategy {
    /** As the product does it. */
    SHARED_CREDIT {
        @Override
        InstanceRate make(RateLimit limit, int instances, long nowNanos) {
            return new Product(new SharedRate(limit, SETTINGS, instances, nowNanos));
        }
    },
    /** Each instance has an equal part for itself. */
    FIXED_PARTS {
        @Override
        InstanceRate make(RateLimit limit, int instances, long nowNanos) {
            return new FixedPart(limit, instances, nowNanos);
        }
    },
    /** Each lets through the share of its requests that the whole demand leaves. */
    IN_PROPORTION {
        @Override
        InstanceRate make(RateLimit limit, int instances, long nowNanos) {
            return new Proportion(limit, nowNanos);
        }
    };

    /** The bound of the rates. */
    static final SharedRateSettings SETTINGS =
            new SharedRateSettings(Duration.ofSeconds(5), 0.1, 20);

    private static final double NANOS = 1e9;

    abstract InstanceRate make(RateLimit limit, int instances, long nowNanos);

    /** What one instance does. */
    interface InstanceRate {

        boolean tryAdmit(double draw, long nowNanos);

        RateUsage report(long nowNanos);

        void received(RateUsage others, int heardOf, long nowNanos);

        void instances(int all, long nowNanos);

        void setLimit(RateLimit limit, long nowNanos);
    }

    private record Product(SharedRate rate) implements InstanceRate {

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
        public void received(RateUsage others, int heardOf, long nowNanos) {
            rate.received(others, heardOf, nowNanos);
        }

        @Override
        public void instances(int all, long nowNanos) {
            rate.setInstanceCount(all, nowNanos);
        }

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            rate.applySettings(limit, SETTINGS, nowNanos);
        }
    }

    /** A bucket of a part of the rate. */
    private static class FixedPart implements InstanceRate {

        private RateLimit mLimit;
        private int mInstances;
        private double mTokens;
        private long mNanos;

        FixedPart(RateLimit limit, int instances, long nowNanos) {
            mLimit = limit;
            mInstances = instances;
            mNanos = nowNanos;
        }

        @Override
        public boolean tryAdmit(double draw, long nowNanos) {
            double grown = mLimit.perSecond() * (nowNanos - mNanos) / NANOS / mInstances;
            mTokens = Math.min(mLimit.burst() / mInstances, mTokens + grown);
            mNanos = nowNanos;
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
        public void received(RateUsage others, int heardOf, long nowNanos) {}

        @Override
        public void instances(int all, long nowNanos) {
            mInstances = all;
        }

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            mLimit = limit;
        }
    }

    /** The share of the demand that the rate covers, by what was last told. */
    private static class Proportion implements InstanceRate {

        private final SharedRate mCounts;
        private RateLimit mLimit;
        private double mOthers;

        Proportion(RateLimit limit, long nowNanos) {
            mLimit = limit;
            mCounts = new SharedRate(limit, SETTINGS, 1, nowNanos);
        }

        @Override
        public boolean tryAdmit(double draw, long nowNanos) {
            mCounts.tryAdmit(1, nowNanos);
            double demand = mOthers + mCounts.demand(nowNanos);
            return draw * demand < mLimit.perSecond();
        }

        @Override
        public RateUsage report(long nowNanos) {
            return mCounts.report(nowNanos);
        }

        @Override
        public void received(RateUsage others, int heardOf, long nowNanos) {
            mOthers = others.demand();
        }

        @Override
        public void instances(int all, long nowNanos) {}

        @Override
        public void setLimit(RateLimit limit, long nowNanos) {
            mLimit = limit;
        }
    }
}
