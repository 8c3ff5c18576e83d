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
 * Claims callers' own keys at the platform, many in one conditional update: a state machine for one
 * thread.
 *
 * <p>A claim holds once the platform is known to hold it. An update whose answer was lost is
 * settled by reading back and, if it has not taken effect, by another update with the same
 * condition, of which at most one takes effect. An attempt that was given up may still be written
 * later; that is harmless, since its operation key names this instance, which has not run it and
 * would run it for a repeat only.
 *
 * <p>For each bucket at most one call is under way; requests that come meanwhile share the next.
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
     * Makes a batcher without claims.
     *
     * @param limits the limits
     * @param timeSource the clocks
     * @param random spreads calls after a conflict
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
     * @param deadlineNanos when the request gives up, in nanoseconds of the time source
     * @param listener takes the one result
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
                .add(new Waiter(entry, deadlineNanos, listener));
    }

    /**
     * Gives the calls to make now; each must be followed by one {@link #answered}.
     *
     * @return the calls, at most one for each bucket
     */
    public List<ClaimCall> nextCalls() {
        long now = mTimeSource.monotonicNanos();
        List<ClaimCall> calls = new ArrayList<>();
        for (Bucket bucket : mBuckets.values()) {
            bucket.giveUpOverdue(now);
            bucket.nextCall(now).ifPresent(calls::add);
        }
        return calls;
    }

    /**
     * Takes what became of a call.
     *
     * @param call the call
     * @param answer what became of it
     */
    public void answered(ClaimCall call, StoreAnswer<ClaimContents> answer) {
        Bucket bucket = mBuckets.get(call.bucket());
        Assert.isTrue(bucket != null && bucket.mBusy, "No call is under way for %s.", call);
        bucket.answered(call, answer);
    }

    /** Forgets the contents of buckets that no request waits for, to save memory. */
    public void forgetIdle() {
        mBuckets.values().removeIf(bucket -> !bucket.mBusy && bucket.mWaiting.isEmpty());
    }

    /**
     * Counts the requests that wait for their claim.
     *
     * @return the count
     */
    public int waiting() {
        return mWaiting;
    }

    /** A request that waits for its claim. */
    private static final class Waiter {

        private final ClaimEntry mEntry;
        private final long mDeadlineNanos;
        private final Consumer<ClaimResult> mListener;

        Waiter(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener) {
            mEntry = entry;
            mDeadlineNanos = deadlineNanos;
            mListener = listener;
        }
    }

    /** One bucket as this instance last saw it. */
    private final class Bucket {

        private final int mNumber;
        private final Set<Waiter> mWaiting = new LinkedHashSet<>();
        private ClaimContents mContents;
        private boolean mBusy;
        private long mNotBefore = Long.MIN_VALUE;

        Bucket(int number) {
            mNumber = number;
        }

        void giveUpOverdue(long now) {
            for (Waiter waiter : List.copyOf(mWaiting)) {
                if (waiter.mDeadlineNanos - now <= 0) {
                    end(waiter, new ClaimResult.Unavailable());
                }
            }
        }

        Optional<ClaimCall> nextCall(long now) {
            boolean early = mNotBefore != Long.MIN_VALUE && mNotBefore - now > 0;
            if (mBusy || mWaiting.isEmpty() || early) {
                return Optional.empty();
            }
            Optional<ClaimCall> call =
                    mContents == null ? Optional.of(new ClaimCall.Read(mNumber)) : nextWrite();
            mBusy = call.isPresent();
            mNotBefore = now + mLimits.interval().toNanos();
            return call;
        }

        /** Settles what the contents settle and writes the rest. */
        private Optional<ClaimCall> nextWrite() {
            Map<CallerKey, OperationKey> claims = unexpired();
            settle(claims);
            Map<CallerKey, OperationKey> next = new HashMap<>(claims);
            for (Waiter waiter : List.copyOf(mWaiting)) {
                ClaimEntry entry = waiter.mEntry;
                if (next.size() >= mLimits.maximumClaims()
                        && !next.containsKey(entry.callerKey())) {
                    end(waiter, new ClaimResult.Full());
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

        private void settle(Map<CallerKey, OperationKey> claims) {
            for (Waiter waiter : List.copyOf(mWaiting)) {
                OperationKey holder = claims.get(waiter.mEntry.callerKey());
                if (holder == null) {
                    continue;
                }
                boolean own = holder.equals(waiter.mEntry.operationKey());
                end(waiter, own ? new ClaimResult.Claimed() : new ClaimResult.HeldBy(holder));
            }
        }

        void answered(ClaimCall call, StoreAnswer<ClaimContents> answer) {
            mBusy = false;
            if (answer instanceof StoreAnswer.Written<ClaimContents> written) {
                ClaimCall.Write write = (ClaimCall.Write) call;
                mContents = new ClaimContents(written.version(), write.contents().claims());
                settle(mContents.claims());
            } else if (answer instanceof StoreAnswer.Held<ClaimContents> held) {
                mContents = held.contents();
                settle(unexpired());
                spread(call);
            } else if (answer instanceof StoreAnswer.Unknown<ClaimContents>) {
                mContents = null;
            } else if (answer instanceof StoreAnswer.Unavailable<ClaimContents>) {
                mContents = null;
                List.copyOf(mWaiting).forEach(waiter -> end(waiter, new ClaimResult.Unavailable()));
            }
        }

        /** Keeps instances that write the same bucket from meeting again. */
        private void spread(ClaimCall call) {
            long interval = mLimits.interval().toNanos();
            if (call instanceof ClaimCall.Write && interval > 0) {
                mNotBefore = mTimeSource.monotonicNanos() + mRandom.nextLong(interval);
            } else {
                mNotBefore = Long.MIN_VALUE;
            }
        }

        private void end(Waiter waiter, ClaimResult result) {
            ClaimBatcher.this.mWaiting--;
            mWaiting.remove(waiter);
            waiter.mListener.accept(result);
        }
    }
}
