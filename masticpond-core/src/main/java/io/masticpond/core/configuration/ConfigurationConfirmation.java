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
 * State machine that confirms one plan by appending it to the chain with a conditional write of the
 * head.
 *
 * <p>If the response to a write is lost, the head is read to determine its outcome: it contains the
 * plan's id if the write took effect, and the write can no longer take effect once the object has
 * another version. A plan that was accepted before is accepted again with the same version, so that
 * a confirmation may be repeated at any instance. Not thread-safe. It has no clock: the caller must
 * limit the time of the steps.
 *
 * @since 0.1
 */
public final class ConfigurationConfirmation {

    /** Outcome of a write of the head. */
    public enum WriteOutcome {
        /** The write took effect. */
        WRITTEN,
        /** The object had another version, so the write had no effect. */
        CONFLICT,
        /** The write may have taken effect or may still take effect. */
        UNCERTAIN,
        /** The write had no effect because the platform is unavailable. */
        UNAVAILABLE
    }

    private final Plan mPlan;
    private final ConfigurationLogLimits mLimits;
    private final int mMaximumReads;
    private int mReads;
    private Optional<WriteHead> mLastWrite = Optional.empty();
    private boolean mUncertain;

    /**
     * Creates a confirmation of a plan.
     *
     * @param plan the plan
     * @param limits the limits of the size of the head's log
     * @param maximumReads the maximum number of reads of the head before the confirmation ends
     *     without a result, positive
     */
    public ConfigurationConfirmation(Plan plan, ConfigurationLogLimits limits, int maximumReads) {
        mPlan = Assert.notNull(plan, "A plan");
        mLimits = Assert.notNull(limits, "Limits of the log");
        Assert.positive(maximumReads, "The number of reads");
        mMaximumReads = maximumReads;
    }

    /**
     * Returns the first step.
     *
     * @return the step
     */
    public ConfirmationStep start() {
        return read();
    }

    /**
     * Handles the head that was read.
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
            return resolveBaseMismatch(head);
        }
        if (mLastWrite.isPresent() && mLastWrite.get().expectedObjectVersion() != objectVersion) {
            mUncertain = false;
        }
        WriteHead write = new WriteHead(head.append(mPlan, mLimits), objectVersion);
        mLastWrite = Optional.of(write);
        return write;
    }

    /**
     * Handles a failed read of the head.
     *
     * @return the next step
     */
    public ConfirmationStep onHeadUnavailable() {
        return mUncertain ? read() : new Unavailable();
    }

    /**
     * Handles the outcome of a write.
     *
     * @param outcome the outcome
     * @return the next step
     */
    public ConfirmationStep onWrite(WriteOutcome outcome) {
        WriteHead write = mLastWrite.orElseThrow(() -> new IllegalStateException("No write ran."));
        return switch (outcome) {
            case WRITTEN -> new Accepted(write.head().version());
            case CONFLICT -> read();
            case UNCERTAIN -> {
                mUncertain = true;
                yield read();
            }
            case UNAVAILABLE -> mUncertain ? read() : new Unavailable();
        };
    }

    /**
     * Returns the step for a head whose version differs from the plan's base. If the recent plans
     * of the head do not reach back to the base, the plan may have been accepted long ago.
     */
    private ConfirmationStep resolveBaseMismatch(ConfigurationHead head) {
        if (mPlan.base().isAfter(head.version()) || !head.hasAllPlansSince(mPlan.base())) {
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
