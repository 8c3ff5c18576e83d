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
 * Simulated operator that adds one site with each plan, at a randomly chosen instance, and repeats
 * the confirmation of each plan until an answer says whether the plan was accepted.
 *
 * <p>The results may be read once {@link #run} has ended.
 */
final class RacingOperator implements Runnable {

    private static final ZoneId ZONE = new ZoneId("casa-1");
    private static final long MEAN_PAUSE_MILLIS = 40;
    private static final long ANSWER_TIMEOUT_SECONDS = 3;

    private final String mName;
    private final MeasuredFleet mFleet;
    private final AtomicInteger mAcceptedByAll;
    private final int mTargetCount;
    private final UniformRandomProvider mRandom;
    private final Map<String, Long> mAccepted = new LinkedHashMap<>();
    private final List<String> mRefused = new ArrayList<>();
    private int mUnsettled;
    private int mUnavailable;
    private int mPlans;

    RacingOperator(
            String name,
            MeasuredFleet fleet,
            AtomicInteger acceptedByAll,
            int targetCount,
            long seed) {
        mName = name;
        mFleet = fleet;
        mAcceptedByAll = acceptedByAll;
        mTargetCount = targetCount;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the sites of accepted plans with the configuration versions of these plans. */
    Map<String, Long> accepted() {
        return mAccepted;
    }

    /** Returns the sites of plans that were finally refused because their base had changed. */
    List<String> refused() {
        return mRefused;
    }

    int unsettled() {
        return mUnsettled;
    }

    int unavailable() {
        return mUnavailable;
    }

    @Override
    public void run() {
        while (mAcceptedByAll.get() < mTargetCount && !Thread.currentThread().isInterrupted()) {
            mPlans++;
            String site = mName + "-" + mPlans;
            Either<ConfigurationError, Plan> plan =
                    await(randomInstance().commands().plan(intentToAdd(site), mName));
            if (plan.isRight()) {
                confirm(site, plan.get());
            } else {
                mUnavailable++;
            }
            pause();
        }
    }

    private void confirm(String site, Plan plan) {
        while (!Thread.currentThread().isInterrupted()) {
            Either<ConfigurationError, ConfigurationVersion> confirmed =
                    await(randomInstance().commands().confirm(plan.id(), mName));
            if (confirmed.isRight()) {
                mAccepted.put(site, confirmed.get().number());
                mAcceptedByAll.incrementAndGet();
                return;
            }
            if (confirmed.getLeft() instanceof ConfigurationError.BaseChanged) {
                mRefused.add(site);
                return;
            }
            if (confirmed.getLeft() instanceof ConfigurationError.Unsettled) {
                mUnsettled++;
            } else {
                mUnavailable++;
            }
            pause();
        }
    }

    /** Waits for an answer with a timeout, because an instance that is killed never answers. */
    private static <T> Either<ConfigurationError, T> await(
            CompletableFuture<Either<ConfigurationError, T>> answer) {
        return answer.completeOnTimeout(
                        Either.left(new ConfigurationError.Unsettled("No answer came.")),
                        ANSWER_TIMEOUT_SECONDS,
                        TimeUnit.SECONDS)
                .join();
    }

    private MeasuredInstance randomInstance() {
        return mFleet.live(mRandom.nextInt(MeasuredFleet.INSTANCES));
    }

    private void pause() {
        try {
            Thread.sleep(MEAN_PAUSE_MILLIS / 2 + mRandom.nextInt((int) MEAN_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ConfigurationIntent intentToAdd(String site) {
        ConfigurationContent addition =
                new ConfigurationContent(
                        List.of(new RegionSpecification(new RegionId("casa"), List.of(ZONE))),
                        List.of(),
                        List.of(),
                        List.of(new SiteSpecification(new SiteId(site), ZONE)),
                        List.of());
        return new ConfigurationIntent.Merge(
                new ConfigurationChange(addition, ConfigurationRemoval.NONE));
    }
}
