package io.masticpond.measure.operation;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.operation.OnceOnlyKeys;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Simulated caller of one once-only operation. It sends the operation, loses some answers, retries
 * through other instances until it knows the outcome, and compares the reported outcome with the
 * executions at the backend servers. Confined to the thread of its scheduler.
 */
final class OnceOnlyCaller {

    private static final TimeSource TIME = new SystemTimeSource();
    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final Duration DEADLINE = Duration.ofMillis(800);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_300);
    private static final int MAXIMUM_ATTEMPTS = 16;
    private static final long RETRY_MILLIS = 60;
    private static final Duration RESOLUTION_TIMEOUT = Duration.ofSeconds(9);
    private static final double LOST_ANSWER_SHARE = 0.05;
    private static final double GIVE_UP_SHARE = 0.2;
    private static final double REPEAT_SHARE = 0.1;
    private static final double HOME_SHARE = 0.7;

    private final MeasuredFleet mFleet;
    private final OnceOnlyCounters mCounters;
    private final TaskScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final Runnable mDoneHandler;
    private final String mPath;
    private final boolean mUsesCallerKey;
    private Optional<String> mHomedKey = Optional.empty();
    private int mHomeIndex;
    private int mAttempts;
    private String mAnswer;
    private long mStartNanos;
    private RefusalCause mLastCause = RefusalCause.INSTANCE_LOST;

    OnceOnlyCaller(
            MeasuredFleet fleet,
            OnceOnlyCounters counters,
            TaskScheduler scheduler,
            SplittableRandom random,
            int number,
            Runnable doneHandler) {
        mFleet = fleet;
        mCounters = counters;
        mScheduler = scheduler;
        mRandom = random;
        mDoneHandler = doneHandler;
        mPath = "/plates/" + number;
        mUsesCallerKey = number % 2 == 0;
    }

    String path() {
        return mPath;
    }

    void start() {
        mStartNanos = TIME.monotonicNanos();
        attempt();
    }

    private void attempt() {
        int target = target();
        MeasuredInstance instance = mFleet.instance(target);
        if (!instance.isAlive()) {
            mScheduler.afterMillis(RETRY_MILLIS, this::attempt);
            return;
        }
        if (!mUsesCallerKey && mHomedKey.isEmpty()) {
            mHomedKey = Optional.of(instance.issueKey().toString());
            mHomeIndex = target;
        }
        mAttempts++;
        mCounters.mAttempts.increment();
        boolean losesAnswer = mRandom.nextDouble() < LOST_ANSWER_SHARE;
        AtomicBoolean pending = new AtomicBoolean(true);
        mScheduler.afterMillis(
                ANSWER_TIMEOUT.toMillis(),
                () -> {
                    if (pending.compareAndSet(true, false)) {
                        mCounters.mLostAnswers.increment();
                        retry(0);
                    }
                });
        instance.submit(
                request(),
                keys(),
                completion ->
                        mScheduler.execute(
                                () -> {
                                    if (pending.compareAndSet(true, false)) {
                                        onCompletion(completion, losesAnswer);
                                    }
                                }));
    }

    private int target() {
        boolean isFirst = mHomedKey.isPresent() && mAttempts <= 1;
        return isFirst && mRandom.nextDouble() < HOME_SHARE
                ? mHomeIndex
                : mRandom.nextInt(MeasuredFleet.INSTANCES);
    }

    private SteeredRequest request() {
        RequestHead head =
                new RequestHead(
                        new RequestId("r" + mPath.replace('/', '.') + "-" + mAttempts),
                        SERVICE,
                        TIME.monotonicNanos() + DEADLINE.toNanos(),
                        5,
                        OperationKind.ONCE_ONLY);
        byte[] body = mPath.getBytes(StandardCharsets.UTF_8);
        return new SteeredRequest(
                head, Optional.empty(), "POST", mPath, List.of(), body, Optional.empty());
    }

    private OnceOnlyKeys keys() {
        Optional<String> claimed =
                mUsesCallerKey ? Optional.of("order " + mPath) : Optional.empty();
        return new OnceOnlyKeys(mHomedKey, claimed, "", mAttempts == 1);
    }

    private void onCompletion(RequestCompletion completion, boolean losesAnswer) {
        if (losesAnswer) {
            mCounters.mLostAnswers.increment();
            retry(0);
        } else if (completion instanceof RequestCompletion.Answered answered) {
            onAnswer(new String(answered.body(), StandardCharsets.UTF_8));
        } else {
            onRefusal(((RequestCompletion.Refused) completion).refusal());
        }
    }

    private void onAnswer(String answer) {
        if (!answer.contains(" " + mPath + "\"")) {
            mCounters.mMismatched.increment();
        }
        if (mFleet.executions().count(mPath) == 0) {
            mCounters.mLost.increment();
        }
        if (mAnswer != null) {
            mCounters.mRepeatsAnswered.increment();
            if (!mAnswer.equals(answer)) {
                mCounters.mChangedAnswers.increment();
            }
            mDoneHandler.run();
            return;
        }
        mAnswer = answer;
        mCounters.mAnswered.increment();
        if (mRandom.nextDouble() < REPEAT_SHARE) {
            attempt();
            return;
        }
        mDoneHandler.run();
    }

    private void onRefusal(Refusal refusal) {
        int executions = mFleet.executions().count(mPath);
        if (refusal.verdict() == Verdict.DID_NOT_RUN) {
            if (executions > 0) {
                mCounters.mFalseDidNotRun.increment();
            }
            if (mAnswer == null && mRandom.nextDouble() < GIVE_UP_SHARE) {
                mCounters.mDidNotRun.increment();
                mScheduler.afterMillis(2 * ANSWER_TIMEOUT.toMillis(), this::checkGivenUp);
                return;
            }
        }
        if (refusal.verdict() == Verdict.RAN && executions == 0) {
            mCounters.mLost.increment();
        }
        mLastCause = refusal.cause();
        if (refusal.cause() == RefusalCause.OPERATION_HOME_GONE) {
            mAttempts = MAXIMUM_ATTEMPTS;
        }
        retry(refusal.retryAfter().map(Duration::toMillis).orElse(0L));
    }

    /**
     * Checks that an operation that was reported not to have run, and is not retried, has not run
     * later either.
     */
    private void checkGivenUp() {
        if (mFleet.executions().count(mPath) > 0) {
            mCounters.mFalseDidNotRun.increment();
        }
        mDoneHandler.run();
    }

    /** Retries the operation after a delay, unless its attempts or its time are used up. */
    private void retry(long minimumMillis) {
        boolean isLate = TIME.monotonicNanos() - mStartNanos > RESOLUTION_TIMEOUT.toNanos();
        if (mAttempts < MAXIMUM_ATTEMPTS && !isLate) {
            mScheduler.afterMillis(
                    Math.max(minimumMillis, RETRY_MILLIS * mAttempts), this::attempt);
            return;
        }
        if (mAnswer == null) {
            mCounters.recordUnknown(mLastCause, mFleet.executions().count(mPath) > 0);
        }
        mDoneHandler.run();
    }
}
