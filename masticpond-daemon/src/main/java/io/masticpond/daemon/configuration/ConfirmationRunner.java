package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationConfirmation;
import io.masticpond.core.configuration.ConfigurationConfirmation.WriteOutcome;
import io.masticpond.core.configuration.ConfigurationHead;
import io.masticpond.core.configuration.ConfigurationLogLimits;
import io.masticpond.core.configuration.ConfirmationStep;
import io.masticpond.core.configuration.ConfirmationStep.ReadHead;
import io.masticpond.core.configuration.ConfirmationStep.WriteHead;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.configuration.ChainStore.HeadWrite;
import io.masticpond.daemon.platform.PlatformError;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** Carries out the steps of confirmations at the platform. */
final class ConfirmationRunner {

    private static final int MAXIMUM_READS = 6;

    private final ChainStore mChain;
    private final ConfigurationLogLimits mLimits;
    private final Supplier<Configuration> mKnown;
    private final Executor mExecutor;

    ConfirmationRunner(
            ChainStore chain,
            ConfigurationLogLimits limits,
            Supplier<Configuration> known,
            Executor executor) {
        mChain = Assert.notNull(chain, "A chain store");
        mLimits = Assert.notNull(limits, "Limits of the log");
        mKnown = Assert.notNull(known, "A known configuration");
        mExecutor = Assert.notNull(executor, "An executor");
    }

    /** Runs a confirmation to its end; the step given is never one that asks for more. */
    CompletableFuture<ConfirmationStep> run(Plan plan) {
        return new Run(plan).start();
    }

    private static boolean isCheckpoint(ConfigurationHead head) {
        return head.checkpoint().version().equals(head.version());
    }

    private static WriteOutcome endOf(PlatformError error) {
        if (error instanceof PlatformError.Conflict) {
            return WriteOutcome.CONFLICT;
        }
        if (error instanceof PlatformError.Uncertain) {
            return WriteOutcome.UNCERTAIN;
        }
        return WriteOutcome.UNAVAILABLE;
    }

    /** One confirmation with the head that it last read. */
    private final class Run {

        private final Plan mPlan;
        private final ConfigurationConfirmation mConfirmation;
        private ConfigurationHead mHead = ConfigurationHead.EMPTY;

        Run(Plan plan) {
            mPlan = plan;
            mConfirmation = new ConfigurationConfirmation(plan, mLimits, MAXIMUM_READS);
        }

        CompletableFuture<ConfirmationStep> start() {
            return follow(mConfirmation.start());
        }

        private CompletableFuture<ConfirmationStep> follow(ConfirmationStep step) {
            if (step instanceof ReadHead) {
                return mChain.readHead()
                        .thenComposeAsync(read -> follow(afterRead(read)), mExecutor);
            }
            if (step instanceof WriteHead write) {
                return write(write)
                        .thenComposeAsync(end -> follow(mConfirmation.onWrite(end)), mExecutor);
            }
            return CompletableFuture.completedFuture(step);
        }

        private ConfirmationStep afterRead(Either<PlatformError, HeadObject> read) {
            if (read.isLeft()) {
                return mConfirmation.onHeadUnavailable();
            }
            mHead = read.get().head();
            return mConfirmation.onHead(mHead, read.get().objectVersion());
        }

        private CompletableFuture<WriteOutcome> write(WriteHead write) {
            if (!write.needsCheckpoint()) {
                return writeHead(write.head(), write.expectedObjectVersion());
            }
            return mChain.load(mHead, mKnown.get())
                    .thenComposeAsync(base -> writeCheckpoint(base, write.head()), mExecutor)
                    .thenComposeAsync(
                            head ->
                                    head.isLeft()
                                            ? CompletableFuture.completedFuture(
                                                    WriteOutcome.UNAVAILABLE)
                                            : writeHead(head.get(), write.expectedObjectVersion()),
                            mExecutor);
        }

        private CompletableFuture<Either<PlatformError, ConfigurationHead>> writeCheckpoint(
                Either<PlatformError, Configuration> base, ConfigurationHead head) {
            return base.isLeft()
                    ? CompletableFuture.completedFuture(Either.left(base.getLeft()))
                    : mChain.writeCheckpoint(head, mPlan.change().applyTo(base.get().content()));
        }

        private CompletableFuture<WriteOutcome> writeHead(ConfigurationHead head, long expected) {
            return mChain.writeHead(new HeadWrite(head, expected))
                    .thenApply(
                            written -> {
                                if (written.isRight() && isCheckpoint(head)) {
                                    mChain.deleteCheckpointsBefore(
                                            mHead.checkpoint().version().number());
                                }
                                return written.fold(
                                        ConfirmationRunner::endOf, v -> WriteOutcome.WRITTEN);
                            });
        }
    }
}
