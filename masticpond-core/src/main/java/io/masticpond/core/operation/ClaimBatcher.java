package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Batcher that claims callers' own keys at the platform, many in one conditional update. A state
 * machine that must be used by one thread only.
 *
 * <p>A claim is valid once it is known to be stored at the platform. The outcome of an update whose
 * answer was lost is determined by reading back and, if it has not taken effect, by another update
 * with the same condition, at most one of which takes effect. An abandoned attempt may still be
 * written later; that is harmless, since its operation key names this instance, which has not run
 * the operation and would run it for a repeated request only.
 *
 * <p>For each bucket at most one call is in progress; requests that arrive meanwhile share the next
 * one.
 *
 * @since 0.1
 */
public final class ClaimBatcher {

    private final ClaimLimits mLimits;
    private final TimeSource mTimeSource;
    private final HomeClock mClock;
    private final RandomGenerator mRandom;
    private final Map<Integer, Bucket> mBuckets = new HashMap<>();
    private int mWaiting;

    /**
     * Creates a batcher without claims.
     *
     * @param limits the limits
     * @param timeSource the clocks
     * @param random the source of randomness that spreads calls after a conflict
     */
    public ClaimBatcher(ClaimLimits limits, TimeSource timeSource, RandomGenerator random) {
        mLimits = Assert.notNull(limits, "Limits");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mClock = new HomeClock(timeSource);
        mRandom = Assert.notNull(random, "A source of randomness");
    }

    /**
     * Claims a caller's key.
     *
     * @param entry the caller's key and the operation key that it is to be bound to
     * @param deadlineNanos the deadline of the request, in nanoseconds of the time source
     * @param listener the listener that is notified of the result exactly once
     */
    public void submit(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener) {
        if (mWaiting >= mLimits.maximumWaiting()) {
            listener.accept(new ClaimResult.Unavailable());
            return;
        }
        int number = entry.callerKey().bucket(mLimits.buckets());
        mWaiting++;
        mBuckets.computeIfAbsent(number, Bucket::new)
                .mWaiting
                .add(new WaitingRequest(entry, deadlineNanos, listener));
    }

    /**
     * Returns the calls to make now; each must be followed by one call of {@link #onAnswer}.
     *
     * @return the calls, at most one for each bucket
     */
    public List<ClaimCall> nextCalls() {
        long now = mTimeSource.monotonicNanos();
        List<ClaimCall> calls = new ArrayList<>();
        for (Bucket bucket : mBuckets.values()) {
            bucket.expireOverdue(now);
            bucket.nextCall(now).ifPresent(calls::add);
        }
        return calls;
    }

    /**
     * Processes the answer to a call.
     *
     * @param call the call
     * @param answer the answer of the platform
     */
    public void onAnswer(ClaimCall call, StoreAnswer<ClaimContents> answer) {
        Bucket bucket = mBuckets.get(call.bucket());
        Assert.isTrue(
                bucket != null && bucket.mIsCallInProgress, "No call is in progress for %s.", call);
        bucket.answered(call, answer);
    }

    /** Discards the cached contents of buckets that no request waits for, to save memory. */
    public void removeIdleBuckets() {
        mBuckets.values()
                .removeIf(bucket -> !bucket.mIsCallInProgress && bucket.mWaiting.isEmpty());
    }

    /**
     * Returns the number of requests that wait for their claim.
     *
     * @return the count
     */
    public int waiting() {
        return mWaiting;
    }

    /** Request that waits for its claim. */
    private static final class WaitingRequest {

        private final ClaimEntry mEntry;
        private final long mDeadlineNanos;
        private final Consumer<ClaimResult> mListener;

        WaitingRequest(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener) {
            mEntry = entry;
            mDeadlineNanos = deadlineNanos;
            mListener = listener;
        }
    }

    /** Bucket as last read or written by this instance. */
    private final class Bucket {

        private final int mNumber;
        private final Set<WaitingRequest> mWaiting = new LinkedHashSet<>();
        private ClaimContents mContents;
        private boolean mIsCallInProgress;
        private long mNotBefore = Long.MIN_VALUE;

        Bucket(int number) {
            mNumber = number;
        }

        void expireOverdue(long now) {
            for (WaitingRequest request : List.copyOf(mWaiting)) {
                if (request.mDeadlineNanos - now <= 0) {
                    complete(request, new ClaimResult.Unavailable());
                }
            }
        }

        Optional<ClaimCall> nextCall(long now) {
            boolean isTooEarly = mNotBefore != Long.MIN_VALUE && mNotBefore - now > 0;
            if (mIsCallInProgress || mWaiting.isEmpty() || isTooEarly) {
                return Optional.empty();
            }
            Optional<ClaimCall> call =
                    mContents == null ? Optional.of(new ClaimCall.Read(mNumber)) : nextWrite();
            mIsCallInProgress = call.isPresent();
            mNotBefore = now + mLimits.interval().toNanos();
            return call;
        }

        /**
         * Resolves the requests whose keys are in the contents, and returns the write for the
         * others.
         */
        private Optional<ClaimCall> nextWrite() {
            Map<CallerKey, OperationKey> claims = unexpired();
            resolve(claims);
            Map<CallerKey, OperationKey> next = new HashMap<>(claims);
            for (WaitingRequest request : List.copyOf(mWaiting)) {
                ClaimEntry entry = request.mEntry;
                if (next.size() >= mLimits.maximumClaims()
                        && !next.containsKey(entry.callerKey())) {
                    complete(request, new ClaimResult.Full());
                    continue;
                }
                next.putIfAbsent(entry.callerKey(), entry.operationKey());
            }
            if (mWaiting.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(
                    new ClaimCall.Write(mNumber, new ClaimContents(mContents.version(), next)));
        }

        private Map<CallerKey, OperationKey> unexpired() {
            return mContents.unexpired(mClock.millis() - mLimits.clockError().toMillis());
        }

        private void resolve(Map<CallerKey, OperationKey> claims) {
            for (WaitingRequest request : List.copyOf(mWaiting)) {
                OperationKey holder = claims.get(request.mEntry.callerKey());
                if (holder == null) {
                    continue;
                }
                boolean isOwn = holder.equals(request.mEntry.operationKey());
                complete(
                        request,
                        isOwn ? new ClaimResult.Claimed() : new ClaimResult.HeldBy(holder));
            }
        }

        void answered(ClaimCall call, StoreAnswer<ClaimContents> answer) {
            mIsCallInProgress = false;
            if (answer instanceof StoreAnswer.Written<ClaimContents> written) {
                ClaimCall.Write write = (ClaimCall.Write) call;
                mContents = new ClaimContents(written.version(), write.contents().claims());
                resolve(mContents.claims());
            } else if (answer instanceof StoreAnswer.Held<ClaimContents> held) {
                mContents = held.contents();
                resolve(unexpired());
                spreadNextCall(call);
            } else if (answer instanceof StoreAnswer.Unknown<ClaimContents>) {
                mContents = null;
            } else if (answer instanceof StoreAnswer.Unavailable<ClaimContents>) {
                mContents = null;
                List.copyOf(mWaiting)
                        .forEach(request -> complete(request, new ClaimResult.Unavailable()));
            }
        }

        /**
         * Delays the next call by a random time, so that instances that write the same bucket do
         * not conflict again.
         */
        private void spreadNextCall(ClaimCall call) {
            long interval = mLimits.interval().toNanos();
            if (call instanceof ClaimCall.Write && interval > 0) {
                mNotBefore = mTimeSource.monotonicNanos() + mRandom.nextLong(interval);
            } else {
                mNotBefore = Long.MIN_VALUE;
            }
        }

        private void complete(WaitingRequest request, ClaimResult result) {
            ClaimBatcher.this.mWaiting--;
            mWaiting.remove(request);
            request.mListener.accept(result);
        }
    }
}
