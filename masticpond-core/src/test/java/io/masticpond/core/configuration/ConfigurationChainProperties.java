package io.masticpond.core.configuration;

import io.masticpond.core.configuration.ConfigurationConfirmation.WriteOutcome;
import io.masticpond.core.configuration.ConfirmationStep.Accepted;
import io.masticpond.core.configuration.ConfirmationStep.BaseChanged;
import io.masticpond.core.configuration.ConfirmationStep.ReadHead;
import io.masticpond.core.configuration.ConfirmationStep.Unavailable;
import io.masticpond.core.configuration.ConfirmationStep.WriteHead;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Runs concurrent confirmations against a platform that loses responses, delays writes and becomes
 * unavailable.
 *
 * <p>Each number of a run selects the confirmation that takes the next step and the outcome of its
 * call.
 */
class ConfigurationChainProperties {

    private static final int MAXIMUM_READS = 4;

    @Property(tries = 3_000, seed = "11")
    void everyReportedOutcomeIsFinal(
            @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 9_999) Integer> run) {
        Platform platform = new Platform();
        List<Operator> operators = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            operators.add(new Operator(i, platform));
        }
        for (int choice : run) {
            operators.get(choice % operators.size()).step(choice / 4);
        }
        platform.applyDelayedWrites();
        for (Operator operator : operators) {
            operator.mAccepted.forEach(
                    (plan, version) ->
                            Assert.isTrue(
                                    plan.equals(platform.mHistory.get(version)),
                                    "The accepted plan %s was lost: %s.",
                                    plan,
                                    platform.mHistory));
            operator.mRejected.forEach(
                    plan ->
                            Assert.isTrue(
                                    !platform.mHistory.containsValue(plan),
                                    "The rejected plan %s came into force: %s.",
                                    plan,
                                    platform.mHistory));
        }
        Assert.isTrue(
                new HashSet<>(platform.mHistory.values()).size() == platform.mHistory.size(),
                "A plan was accepted twice: %s.",
                platform.mHistory);
        platform.checkContent();
    }

    /**
     * Operator that makes plans and confirms them, and repeats a confirmation whose outcome is
     * unknown.
     */
    private static final class Operator {

        private final int mNumber;
        private final Platform mPlatform;
        private final Map<String, Long> mAccepted = new TreeMap<>();
        private final Set<String> mRejected = new HashSet<>();
        private int mPlans;
        private boolean mUncertain;
        private Plan mPlan;
        private ConfigurationConfirmation mConfirmation;
        private ConfirmationStep mNext;

        Operator(int number, Platform platform) {
            mNumber = number;
            mPlatform = platform;
        }

        void step(int choice) {
            if (mPlan == null) {
                mPlans++;
                mPlan =
                        ConfigurationFixture.plan(
                                "p" + mNumber + "-" + mPlans, mPlatform.mHead.version().number());
            }
            if (mConfirmation == null) {
                mConfirmation =
                        new ConfigurationConfirmation(
                                mPlan, ConfigurationFixture.LIMITS, MAXIMUM_READS);
                mNext = mConfirmation.start();
                mUncertain = false;
                return;
            }
            if (mNext instanceof ReadHead) {
                mNext =
                        choice % 5 == 0
                                ? mConfirmation.onHeadUnavailable()
                                : mConfirmation.onHead(mPlatform.mHead, mPlatform.mObjectVersion);
            } else if (mNext instanceof WriteHead write) {
                WriteOutcome outcome = mPlatform.write(write, choice % 7);
                mUncertain |= outcome == WriteOutcome.UNCERTAIN;
                mNext = mConfirmation.onWrite(outcome);
            }
            finish();
        }

        private void finish() {
            if (mNext instanceof ReadHead || mNext instanceof WriteHead) {
                return;
            }
            mConfirmation = null;
            String id = mPlan.id().value();
            if (mNext instanceof Accepted accepted) {
                mAccepted.put(id, accepted.version().number());
                mPlan = null;
            } else if (mNext instanceof BaseChanged) {
                mRejected.add(id);
                mPlan = null;
            } else if (mNext instanceof Unavailable) {
                Assert.isTrue(
                        !mUncertain,
                        "The plan %s may still be accepted, but was reported as unchanged.",
                        id);
            }
        }
    }

    /** Stand-in for the platform with the head object. */
    private static final class Platform {

        private final Map<Long, String> mHistory = new TreeMap<>();
        private final List<WriteHead> mDelayed = new ArrayList<>();
        private ConfigurationHead mHead = ConfigurationHead.EMPTY;
        private long mObjectVersion;
        private ConfigurationContent mContent = ConfigurationContent.EMPTY;
        private Configuration mCheckpoint = Configuration.EMPTY;

        WriteOutcome write(WriteHead write, int choice) {
            return switch (choice) {
                case 0 -> WriteOutcome.UNAVAILABLE;
                case 1 -> {
                    apply(write);
                    yield WriteOutcome.UNCERTAIN;
                }
                case 2 -> {
                    mDelayed.add(write);
                    yield WriteOutcome.UNCERTAIN;
                }
                case 3 -> {
                    applyDelayedWrites();
                    yield apply(write) ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT;
                }
                default -> apply(write) ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT;
            };
        }

        void applyDelayedWrites() {
            mDelayed.forEach(this::apply);
            mDelayed.clear();
        }

        private boolean apply(WriteHead write) {
            if (write.expectedObjectVersion() != mObjectVersion) {
                return false;
            }
            Assert.isTrue(
                    write.head().version().equals(mHead.version().next()),
                    "Version %s was written after %s.",
                    write.head().version(),
                    mHead.version());
            mObjectVersion++;
            mHead = write.head();
            ConfigurationLogEntry entry = mHead.log().get(mHead.log().size() - 1);
            mContent = entry.change().applyTo(mContent);
            mHistory.put(mHead.version().number(), entry.plan().value());
            if (write.needsCheckpoint()) {
                mCheckpoint =
                        new Configuration(mHead.version(), Optional.of(entry.plan()), mContent);
            }
            return true;
        }

        /** Verifies that a reader that starts from the checkpoint sees every accepted change. */
        void checkContent() {
            Configuration read = mHead.advance(mCheckpoint).orElseThrow();
            Assert.isTrue(
                    read.content().equals(mContent) && read.version().equals(mHead.version()),
                    "A reader sees %s instead of %s.",
                    read.content(),
                    mContent);
            Assert.isTrue(
                    mHead.since(ConfigurationVersion.NONE).isPresent()
                            || mHead.version().number() > mHead.log().size(),
                    "The log has a gap.");
        }
    }
}
