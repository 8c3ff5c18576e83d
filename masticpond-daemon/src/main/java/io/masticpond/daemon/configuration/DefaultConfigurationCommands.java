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
 * Default implementation of {@link ConfigurationCommands}, which runs on the event loop of the
 * configuration.
 *
 * @since 0.1
 */
public final class DefaultConfigurationCommands implements ConfigurationCommands {

    /** The time for which a plan can be confirmed after its creation. */
    public static final Duration PLAN_LIFETIME = Duration.ofHours(1);

    /**
     * The allowance for differing clocks, since the confirming instance compares the expiry with
     * its own clock.
     */
    private static final Duration CLOCK_ERROR = Duration.ofMinutes(5);

    private static final Duration DELETION_INTERVAL = Duration.ofMinutes(10);

    private static final Logger sLogger =
            LoggerFactory.getLogger(DefaultConfigurationCommands.class);

    private final ConfigurationService mService;
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
     * Creates the commands.
     *
     * @param service the service that follows the configuration
     * @param holder the configuration in force
     * @param planner the planner that creates plans
     * @param store the platform's object API
     * @param codec the codec of documents
     * @param timeSource the clocks
     * @param timeline the timeline that events are recorded in
     */
    public DefaultConfigurationCommands(
            ConfigurationService service,
            ConfigurationHolder holder,
            ConfigurationPlanner planner,
            ObjectStore store,
            ConfigurationCodec codec,
            TimeSource timeSource,
            Timeline timeline) {
        mService = Assert.notNull(service, "A configuration service");
        mHolder = Assert.notNull(holder, "A configuration holder");
        mPlanner = Assert.notNull(planner, "A planner");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mTimeline = Assert.notNull(timeline, "A timeline");
        mExecutor = service.executor();
        mChain = service.chain();
        mPlans = new PlanStore(store, codec, mExecutor);
        mRunner = new ConfirmationRunner(mChain, service.limits(), service::known, mExecutor);
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> plan(
            ConfigurationIntent intent, String operator) {
        return withFailureAsBusy(
                readNewestConfiguration()
                        .thenComposeAsync(
                                base ->
                                        base.isLeft()
                                                ? failed(base.getLeft())
                                                : plan(intent, operator, base.get()),
                                mExecutor));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> find(PlanId id) {
        return withFailureAsBusy(
                mPlans.read(id)
                        .thenApply(
                                read ->
                                        read.mapLeft(DefaultConfigurationCommands::unavailable)
                                                .flatMap(plan -> checkPlan(id, plan))));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            PlanId id, String operator) {
        return withFailureAsBusy(
                find(id).thenComposeAsync(
                                plan ->
                                        plan.isLeft()
                                                ? findAcceptedVersion(id, plan.getLeft())
                                                : confirm(plan.get(), operator),
                                mExecutor));
    }

    @Override
    public Configuration current() {
        return mHolder.current();
    }

    /**
     * Returns the version that a deleted or expired plan became, since it may have been accepted
     * while it was valid, or else the given error.
     */
    private CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> findAcceptedVersion(
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

    private CompletableFuture<Either<ConfigurationError, Configuration>> readNewestConfiguration() {
        return mChain.readHead()
                .thenComposeAsync(
                        read ->
                                read.isLeft()
                                        ? failed(unavailable(read.getLeft()))
                                        : load(read.get().head()),
                        mExecutor);
    }

    private CompletableFuture<Either<ConfigurationError, Configuration>> load(
            ConfigurationHead head) {
        Configuration known = mService.known();
        if (known.version().isAfter(head.version())) {
            return failed(new ConfigurationError.ChainBehind(head.version(), known.version()));
        }
        return mChain.load(head, known)
                .thenApply(loaded -> loaded.mapLeft(DefaultConfigurationCommands::unavailable));
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
                                                                        ::unavailable)));
    }

    /**
     * Deletes old plans. Plans are kept for some time after they expired, so that confirming one is
     * answered with the reason.
     */
    private void deleteOldPlans(Instant now) {
        if (now.isBefore(mNextDeletion)) {
            return;
        }
        mNextDeletion = now.plus(DELETION_INTERVAL);
        mPlans.deleteBefore(now.minus(PLAN_LIFETIME).minus(PLAN_LIFETIME));
    }

    private CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            Plan plan, String operator) {
        return mRunner.run(plan).thenApplyAsync(step -> toResult(plan, operator, step), mExecutor);
    }

    private Either<ConfigurationError, ConfigurationVersion> toResult(
            Plan plan, String operator, ConfirmationStep step) {
        if (step instanceof ConfirmationStep.Accepted accepted) {
            onAccepted(plan, operator, accepted.version());
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

    private void onAccepted(Plan plan, String operator, ConfigurationVersion version) {
        sLogger.info(
                "CONFIG  Operator {} confirmed {} as version {}.", operator, plan.id(), version);
        mTimeline.record(
                TimelinePart.CONFIG,
                "plan-accepted",
                "",
                plan.id().value(),
                "version " + version + " by " + operator);
        Configuration known = mService.known();
        if (known.version().next().equals(version)) {
            ConfigurationLogEntry entry =
                    new ConfigurationLogEntry(version, plan.id(), plan.change());
            mService.applyAccepted(entry.applyTo(known), ConfigurationUpdate.of(List.of(entry)));
        } else {
            mService.onVersionSeen(version.number());
        }
    }

    /**
     * Returns the differences between the base of a plan and the current version. If the content of
     * the base is no longer held in memory, they consist of the changes alone.
     */
    private List<ConfigurationDifference> differences(
            Plan plan, ConfirmationStep.BaseChanged changed) {
        Optional<Configuration> base =
                mService.known().version().equals(plan.base())
                        ? Optional.of(mService.known())
                        : mService.recentVersion(plan.base());
        if (base.isEmpty() || changed.entries().isEmpty()) {
            return ConfigurationDifferences.of(changed.entries());
        }
        ConfigurationContent content = base.get().content();
        for (ConfigurationLogEntry entry : changed.entries()) {
            content = entry.change().applyTo(content);
        }
        return ConfigurationDifferences.between(base.get().content(), content);
    }

    private Either<ConfigurationError, Plan> checkPlan(PlanId id, Optional<Plan> plan) {
        if (plan.isEmpty()) {
            return Either.left(new ConfigurationError.UnknownPlan(id));
        }
        if (mTimeSource.instant().isAfter(plan.get().expires().plus(CLOCK_ERROR))) {
            return Either.left(new ConfigurationError.PlanExpired(id));
        }
        return Either.right(plan.get());
    }

    private static ConfigurationError unavailable(PlatformError error) {
        return new ConfigurationError.PlatformUnavailable(error.message());
    }

    private static <T> CompletableFuture<Either<ConfigurationError, T>> failed(
            ConfigurationError error) {
        return CompletableFuture.completedFuture(Either.left(error));
    }

    /**
     * Converts an exceptional completion, which follows from a full queue of the event loop, to a
     * {@link ConfigurationError.Busy}.
     */
    private static <T> CompletableFuture<Either<ConfigurationError, T>> withFailureAsBusy(
            CompletableFuture<Either<ConfigurationError, T>> result) {
        return result.exceptionally(
                error -> {
                    sLogger.warn("CONFIG  Gave up a command of an operator.", error);
                    return Either.left(
                            new ConfigurationError.Busy("The instance has too much to do."));
                });
    }
}
