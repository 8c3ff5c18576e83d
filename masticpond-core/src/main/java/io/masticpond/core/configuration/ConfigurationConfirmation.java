package io.masticpond.core.configuration;

import io.masticpond.core.configuration.ConfirmationStep.Accepted;
import io.masticpond.core.configuration.ConfirmationStep.BaseChanged;
import io.masticpond.core.configuration.ConfirmationStep.ReadHead;
import io.masticpond.core.configuration.ConfirmationStep.Unavailable;
import io.masticpond.core.configuration.ConfirmationStep.Unsettled;
import io.masticpond.core.configuration.ConfirmationStep.WriteHead;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Confirms one plan: appends it to the chain by a conditional write of the head.
 *
 * <p>A lost answer is settled by reading the head back: the plan's id is in it if the write took
 * effect, and the write can no longer take effect once the object has another version. A plan that
 * was accepted before is accepted again with the same version, so a confirmation may be repeated at
 * any instance. A state machine for one thread; it has no clock, its owner bounds the steps.
 *
 * @since 0.1
 */
public final class ConfigurationConfirmation {

    /** How a write of the head ended. */
    public enum WriteOutcome {
        /** It took effect. */
        WRITTEN,
        /** The object had another version; it had no effect. */
        CONFLICT,
        /** It may have taken effect or may still. */
        UNCERTAIN,
        /** It had no effect, since the platform is away. */
        UNAVAILABLE
    }

    private final Plan mPlan;
    private final ConfigurationLogLimits mLimits;
    private final int mMaximumReads;
    private int mReads;
    private Optional<WriteHead> mLastWrite = Optional.empty();
    private boolean mUncertain;

    /**
     * Starts a confirmation.
     *
     * @param plan the plan
     * @param limits how long the log of the head may grow
     * @param maximumReads how often the head is read before the confirmation gives up, positive
     */
    public ConfigurationConfirmation(Plan plan, ConfigurationLogLimits limits, int maximumReads) {
        mPlan = Assert.notNull(plan, "A plan");
        mLimits = Assert.notNull(limits, "Limits of the log");
        Assert.positive(maximumReads, "The number of reads");
        mMaximumReads = maximumReads;
    }

    /**
     * Gives the first step.
     *
     * @return the step
     */
    public ConfirmationStep start() {
        return read();
    }

    /**
     * Takes the head as it was read.
     *
     * @param head the head, {@link ConfigurationHead#EMPTY} if there is no object
     * @param objectVersion the version of the object, 0 if there is none
     * @return the next step
     */
    public ConfirmationStep onHead(ConfigurationHead head, long objectVersion) {
        Optional<ConfigurationVersion> accepted = head.versionOf(mPlan.id());
        if (accepted.isPresent()) {
            return new Accepted(accepted.get());
        }
        if (!head.version().equals(mPlan.base())) {
            return otherVersion(head);
        }
        if (mLastWrite.isPresent() && mLastWrite.get().expectedObjectVersion() != objectVersion) {
            mUncertain = false;
        }
        WriteHead write = new WriteHead(head.append(mPlan, mLimits), objectVersion);
        mLastWrite = Optional.of(write);
        return write;
    }

    /**
     * Takes note that the head could not be read.
     *
     * @return the next step
     */
    public ConfirmationStep onHeadUnavailable() {
        return mUncertain ? read() : new Unavailable();
    }

    /**
     * Takes the end of a write.
     *
     * @param end how it ended
     * @return the next step
     */
    public ConfirmationStep onWrite(WriteOutcome end) {
        WriteHead write = mLastWrite.orElseThrow(() -> new IllegalStateException("No write ran."));
        return switch (end) {
            case WRITTEN -> new Accepted(write.head().version());
            case CONFLICT -> read();
            case UNCERTAIN -> {
                mUncertain = true;
                yield read();
            }
            case UNAVAILABLE -> mUncertain ? read() : new Unavailable();
        };
    }

    /** An old plan that is not remembered may have been accepted long ago. */
    private ConfirmationStep otherVersion(ConfigurationHead head) {
        if (mPlan.base().isAfter(head.version()) || !head.remembersSince(mPlan.base())) {
            return new Unsettled(mPlan.id());
        }
        return new BaseChanged(head.version(), head.since(mPlan.base()).orElse(List.of()));
    }

    private ConfirmationStep read() {
        if (mReads >= mMaximumReads) {
            return mUncertain ? new Unsettled(mPlan.id()) : new Unavailable();
        }
        mReads++;
        return new ReadHead();
    }
}
