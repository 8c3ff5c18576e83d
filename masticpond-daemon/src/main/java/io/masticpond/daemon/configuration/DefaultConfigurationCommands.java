package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationDifference;
import io.masticpond.core.configuration.ConfigurationDifferences;
import io.masticpond.core.configuration.ConfigurationHead;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.ConfigurationLogEntry;
import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.configuration.ConfirmationStep;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out operators' commands on the configuration's duty.
 *
 * @since 0.1
 */
public final class DefaultConfigurationCommands implements ConfigurationCommands {

    /** How long a plan can be confirmed. */
    public static final Duration PLAN_LIFETIME = Duration.ofHours(1);

    /** Allows for clocks that differ: who confirms looks at its own clock. */
    private static final Duration CLOCK_ERROR = Duration.ofMinutes(5);

    private static final Duration DELETION_PAUSE = Duration.ofMinutes(10);

    private static final Logger sLogger =
            LoggerFactory.getLogger(DefaultConfigurationCommands.class);

    private final ConfigurationService mDuty;
    private final ConfigurationHolder mHolder;
    private final ConfigurationPlanner mPlanner;
    private final PlanStore mPlans;
    private final ChainStore mChain;
    private final ConfirmationRunner mRunner;
    private final EventLoopExecutor mExecutor;
    private final TimeSource mTimeSource;
    private final Timeline mTimeline;
    private Instant mNextDeletion = Instant.EPOCH;

    /**
     * Makes the commands.
     *
     * @param duty the configuration's duty
     * @param holder the configuration in force
     * @param planner makes plans
     * @param store the platform's object API
     * @param codec reads and writes documents
     * @param timeSource the clocks
     * @param timeline takes the events
     */
    public DefaultConfigurationCommands(
            ConfigurationService duty,
            ConfigurationHolder holder,
            ConfigurationPlanner planner,
            ObjectStore store,
            ConfigurationCodec codec,
            TimeSource timeSource,
            Timeline timeline) {
        mDuty = Assert.notNull(duty, "A configuration duty");
        mHolder = Assert.notNull(holder, "A configuration holder");
        mPlanner = Assert.notNull(planner, "A planner");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mTimeline = Assert.notNull(timeline, "A time line");
        mExecutor = duty.executor();
        mChain = duty.chain();
        mPlans = new PlanStore(store, codec, mExecutor);
        mRunner = new ConfirmationRunner(mChain, duty.limits(), duty::known, mExecutor);
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> plan(
            ConfigurationIntent intent, String operator) {
        return settled(
                readNewest()
                        .thenComposeAsync(
                                base ->
                                        base.isLeft()
                                                ? failed(base.getLeft())
                                                : plan(intent, operator, base.get()),
                                mExecutor));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> find(PlanId id) {
        return settled(
                mPlans.read(id)
                        .thenApply(
                                read ->
                                        read.mapLeft(DefaultConfigurationCommands::away)
                                                .flatMap(plan -> present(id, plan))));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            PlanId id, String operator) {
        return settled(
                find(id).thenComposeAsync(
                                plan ->
                                        plan.isLeft()
                                                ? acceptedBefore(id, plan.getLeft())
                                                : confirm(plan.get(), operator),
                                mExecutor));
    }

    @Override
    public Configuration current() {
        return mHolder.current();
    }

    /** A plan that is gone or has expired may have been accepted while it stood. */
    private CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> acceptedBefore(
            PlanId id, ConfigurationError error) {
        return mChain.readHead()
                .thenApply(
                        read ->
                                read.toOption()
                                        .flatMap(object -> Option.ofOptional(versionOf(object, id)))
                                        .toEither(error));
    }

    private static Optional<ConfigurationVersion> versionOf(HeadObject object, PlanId id) {
        return object.head().versionOf(id);
    }

    private CompletableFuture<Either<ConfigurationError, Configuration>> readNewest() {
        return mChain.readHead()
                .thenComposeAsync(
                        read ->
                                read.isLeft()
                                        ? failed(away(read.getLeft()))
                                        : load(read.get().head()),
                        mExecutor);
    }

    private CompletableFuture<Either<ConfigurationError, Configuration>> load(
            ConfigurationHead head) {
        Configuration known = mDuty.known();
        if (known.version().isAfter(head.version())) {
            return failed(new ConfigurationError.ChainBehind(head.version(), known.version()));
        }
        return mChain.load(head, known)
                .thenApply(loaded -> loaded.mapLeft(DefaultConfigurationCommands::away));
    }

    private CompletableFuture<Either<ConfigurationError, Plan>> plan(
            ConfigurationIntent intent, String operator, Configuration base) {
        Instant now = mTimeSource.instant();
        PlanId id = PlanStore.newId(now, ThreadLocalRandom.current().nextInt());
        deleteOldPlans(now);
        return mPlanner.plan(intent, base, id, operator, now.plus(PLAN_LIFETIME))
                .fold(
                        faults -> failed(new ConfigurationError.Invalid(faults)),
                        plan ->
                                mPlans.write(plan)
                                        .thenApply(
                                                written ->
                                                        written.mapLeft(
                                                                DefaultConfigurationCommands
                                                                        ::away)));
    }

    /** Plans are kept for a while after they expired, so that the answer can say so. */
    private void deleteOldPlans(Instant now) {
        if (now.isBefore(mNextDeletion)) {
            return;
        }
        mNextDeletion = now.plus(DELETION_PAUSE);
        mPlans.deleteBefore(now.minus(PLAN_LIFETIME).minus(PLAN_LIFETIME));
    }

    private CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            Plan plan, String operator) {
        return mRunner.run(plan).thenApplyAsync(step -> ended(plan, operator, step), mExecutor);
    }

    private Either<ConfigurationError, ConfigurationVersion> ended(
            Plan plan, String operator, ConfirmationStep step) {
        if (step instanceof ConfirmationStep.Accepted accepted) {
            accepted(plan, operator, accepted.version());
            return Either.right(accepted.version());
        }
        if (step instanceof ConfirmationStep.BaseChanged changed) {
            return Either.left(
                    new ConfigurationError.BaseChanged(
                            plan.base(), changed.current(), differences(plan, changed)));
        }
        if (step instanceof ConfirmationStep.Unavailable) {
            return Either.left(
                    new ConfigurationError.PlatformUnavailable(
                            "The platform is away; nothing was changed."));
        }
        return Either.left(
                new ConfigurationError.Unsettled(
                        "It is not known yet whether the plan was accepted; confirm it again."));
    }

    private void accepted(Plan plan, String operator, ConfigurationVersion version) {
        sLogger.info(
                "CONFIG  Operator {} confirmed {} as version {}.", operator, plan.id(), version);
        mTimeline.record(
                TimelinePart.CONFIG,
                "plan-accepted",
                "",
                plan.id().value(),
                "version " + version + " by " + operator);
        Configuration known = mDuty.known();
        if (known.version().next().equals(version)) {
            ConfigurationLogEntry entry =
                    new ConfigurationLogEntry(version, plan.id(), plan.change());
            mDuty.caughtUp(entry.applyTo(known), ConfigurationUpdate.of(List.of(entry)));
        } else {
            mDuty.onVersionSeen(version.number());
        }
    }

    /** If the content of the base is not kept any more, the changes alone are told. */
    private List<ConfigurationDifference> differences(
            Plan plan, ConfirmationStep.BaseChanged changed) {
        Optional<Configuration> base =
                mDuty.known().version().equals(plan.base())
                        ? Optional.of(mDuty.known())
                        : mDuty.recent(plan.base());
        if (base.isEmpty() || changed.entries().isEmpty()) {
            return ConfigurationDifferences.of(changed.entries());
        }
        ConfigurationContent content = base.get().content();
        for (ConfigurationLogEntry entry : changed.entries()) {
            content = entry.change().applyTo(content);
        }
        return ConfigurationDifferences.between(base.get().content(), content);
    }

    private Either<ConfigurationError, Plan> present(PlanId id, Optional<Plan> plan) {
        if (plan.isEmpty()) {
            return Either.left(new ConfigurationError.UnknownPlan(id));
        }
        if (mTimeSource.instant().isAfter(plan.get().expires().plus(CLOCK_ERROR))) {
            return Either.left(new ConfigurationError.PlanExpired(id));
        }
        return Either.right(plan.get());
    }

    private static ConfigurationError away(PlatformError error) {
        return new ConfigurationError.PlatformUnavailable(error.message());
    }

    private static <T> CompletableFuture<Either<ConfigurationError, T>> failed(
            ConfigurationError error) {
        return CompletableFuture.completedFuture(Either.left(error));
    }

    /** A step that found the ring of the duty full fails its future; that is told as busy. */
    private static <T> CompletableFuture<Either<ConfigurationError, T>> settled(
            CompletableFuture<Either<ConfigurationError, T>> result) {
        return result.exceptionally(
                error -> {
                    sLogger.warn("CONFIG  A command of an operator was given up.", error);
                    return Either.left(
                            new ConfigurationError.Busy("The instance has too much to do."));
                });
    }
}
