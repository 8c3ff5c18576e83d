package io.masticpond.measure.configuration;

import io.masticpond.core.configuration.ConfigurationChange;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.ConfigurationRemoval;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.daemon.configuration.ConfigurationError;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * An operator who adds one site with each plan, and confirms each plan, at any instance, until it
 * is told whether it was accepted.
 */
final class RacingOperator implements Runnable {

    private static final ZoneId ZONE = new ZoneId("casa-1");
    private static final long PAUSE_MILLIS = 40;
    private static final long ANSWER_SECONDS = 3;

    private final String mName;
    private final MeasuredFleet mFleet;
    private final AtomicInteger mAcceptedByAll;
    private final int mTarget;
    private final UniformRandomProvider mRandom;
    private final Map<String, Long> mAccepted = new LinkedHashMap<>();
    private final List<String> mRefused = new ArrayList<>();
    private int mUnsettled;
    private int mAway;
    private int mPlans;

    RacingOperator(
            String name, MeasuredFleet fleet, AtomicInteger acceptedByAll, int target, long seed) {
        mName = name;
        mFleet = fleet;
        mAcceptedByAll = acceptedByAll;
        mTarget = target;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Gives the sites of accepted plans with the versions that the plans became. */
    Map<String, Long> accepted() {
        return mAccepted;
    }

    /** Gives the sites of plans that were refused for good. */
    List<String> refused() {
        return mRefused;
    }

    int unsettled() {
        return mUnsettled;
    }

    int unavailable() {
        return mAway;
    }

    @Override
    public void run() {
        while (mAcceptedByAll.get() < mTarget && !Thread.currentThread().isInterrupted()) {
            mPlans++;
            String site = mName + "-" + mPlans;
            Either<ConfigurationError, Plan> plan =
                    awaited(any().commands().plan(adding(site), mName));
            if (plan.isRight()) {
                confirm(site, plan.get());
            } else {
                mAway++;
            }
            pause();
        }
    }

    private void confirm(String site, Plan plan) {
        while (!Thread.currentThread().isInterrupted()) {
            Either<ConfigurationError, ConfigurationVersion> end =
                    awaited(any().commands().confirm(plan.id(), mName));
            if (end.isRight()) {
                mAccepted.put(site, end.get().number());
                mAcceptedByAll.incrementAndGet();
                return;
            }
            if (end.getLeft() instanceof ConfigurationError.BaseChanged) {
                mRefused.add(site);
                return;
            }
            if (end.getLeft() instanceof ConfigurationError.Unsettled) {
                mUnsettled++;
            } else {
                mAway++;
            }
            pause();
        }
    }

    /** An instance that is killed never answers. */
    private static <T> Either<ConfigurationError, T> awaited(
            CompletableFuture<Either<ConfigurationError, T>> answer) {
        return answer.completeOnTimeout(
                        Either.left(new ConfigurationError.Unsettled("No answer came.")),
                        ANSWER_SECONDS,
                        TimeUnit.SECONDS)
                .join();
    }

    private MeasuredInstance any() {
        return mFleet.live(mRandom.nextInt(MeasuredFleet.INSTANCES));
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS / 2 + mRandom.nextInt((int) PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ConfigurationIntent adding(String site) {
        ConfigurationContent put =
                new ConfigurationContent(
                        List.of(new RegionSpecification(new RegionId("casa"), List.of(ZONE))),
                        List.of(),
                        List.of(),
                        List.of(new SiteSpecification(new SiteId(site), ZONE)),
                        List.of());
        return new ConfigurationIntent.Merge(
                new ConfigurationChange(put, ConfigurationRemoval.NONE));
    }
}
