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

/** Executor of the steps of a {@link ConfigurationConfirmation} at the platform. */
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

    /**
     * Runs a confirmation to its outcome. The returned step is final: it is never one that requires
     * a further read or write.
     */
    CompletableFuture<ConfirmationStep> run(Plan plan) {
        return new Run(plan).start();
    }

    private static boolean isCheckpoint(ConfigurationHead head) {
        return head.checkpoint().version().equals(head.version());
    }

    private static WriteOutcome toOutcome(PlatformError error) {
        if (error instanceof PlatformError.Conflict) {
            return WriteOutcome.CONFLICT;
        }
        if (error instanceof PlatformError.Uncertain) {
            return WriteOutcome.UNCERTAIN;
        }
        return WriteOutcome.UNAVAILABLE;
    }

    /** A running confirmation with the head that it read last. */
    private final class Run {

        private final Plan mPlan;
        private final ConfigurationConfirmation mConfirmation;
        private ConfigurationHead mHead = ConfigurationHead.EMPTY;

        Run(Plan plan) {
            mPlan = plan;
            mConfirmation = new ConfigurationConfirmation(plan, mLimits, MAXIMUM_READS);
        }

        CompletableFuture<ConfirmationStep> start() {
            return execute(mConfirmation.start());
        }

        private CompletableFuture<ConfirmationStep> execute(ConfirmationStep step) {
            if (step instanceof ReadHead) {
                return mChain.readHead()
                        .thenComposeAsync(read -> execute(afterRead(read)), mExecutor);
            }
            if (step instanceof WriteHead write) {
                return write(write)
                        .thenComposeAsync(
                                outcome -> execute(mConfirmation.onWrite(outcome)), mExecutor);
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
                                        ConfirmationRunner::toOutcome, v -> WriteOutcome.WRITTEN);
                            });
        }
    }
}
