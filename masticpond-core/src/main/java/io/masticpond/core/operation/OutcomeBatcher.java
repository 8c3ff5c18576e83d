package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Batcher that copies the outcomes of a home to the platform, many in one update. A state machine
 * that must be used by one thread only.
 *
 * <p>Only the home writes its segments, each of which holds the outcomes of consecutive sequences,
 * so an update that was lost or met another version is simply repeated. No request waits for the
 * copy: a repeated request after the termination of the home receives the answer if it was written
 * in time, and otherwise the verdict that the operation may have run.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public final class OutcomeBatcher<A> {

    /** Number of consecutive sequences in a segment. */
    public static final int SEGMENT_SEQUENCES = 64;

    /**
     * Number of intervals before a call is repeated that was postponed, or that failed because the
     * platform was unavailable.
     */
    private static final int UNAVAILABLE_RETRY_INTERVALS = 5;

    private final TimeSource mTimeSource;
    private final HomeClock mClock;
    private final long mIntervalNanos;
    private final long mClockErrorMillis;
    private final int mMaximumOutcomes;
    private final Map<Long, Segment<A>> mSegments = new HashMap<>();
    private int mOutcomes;
    private long mDropped;

    /**
     * Creates a batcher without outcomes.
     *
     * @param timeSource the clocks
     * @param interval the time for which outcomes are collected before they are written
     * @param clockError the maximum difference between the clocks of two instances
     * @param maximumOutcomes the maximum number of outcomes held for copying; further ones are not
     *     copied
     */
    public OutcomeBatcher(
            TimeSource timeSource, Duration interval, Duration clockError, int maximumOutcomes) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mClock = new HomeClock(timeSource);
        mIntervalNanos = Assert.positive(interval.toNanos(), "An interval");
        mClockErrorMillis = Assert.notNegative(clockError.toMillis(), "A clock error");
        mMaximumOutcomes = (int) Assert.positive(maximumOutcomes, "A number of outcomes");
    }

    /**
     * Returns the number of the segment that holds an outcome.
     *
     * @param key the key
     * @return the number of the segment at the home of the key
     */
    public static long segment(OperationKey key) {
        return key.sequence() / SEGMENT_SEQUENCES;
    }

    /**
     * Adds an outcome to copy, or one that settles an outcome added before. A further outcome is
     * dropped if the maximum is reached; one that replaces another never is.
     *
     * @param outcome the outcome
     */
    public void add(KeptOutcome<A> outcome) {
        if (mOutcomes >= mMaximumOutcomes && !holds(outcome.key())) {
            mDropped++;
            return;
        }
        long now = mTimeSource.monotonicNanos();
        Segment<A> segment =
                mSegments.computeIfAbsent(segment(outcome.key()), number -> new Segment<>());
        if (segment.mOutcomes.put(outcome.key().sequence(), outcome) == null) {
            mOutcomes++;
        }
        if (!segment.mIsDirty && !segment.mIsCallInProgress) {
            segment.mNotBefore = now + mIntervalNanos;
        }
        segment.mIsDirty = true;
        segment.mExpiresMillis = Math.max(segment.mExpiresMillis, outcome.key().expiresMillis());
    }

    private boolean holds(OperationKey key) {
        Segment<A> segment = mSegments.get(segment(key));
        return segment != null && segment.mOutcomes.containsKey(key.sequence());
    }

    /**
     * Returns the calls to make now; each must be followed by one call of {@link #onAnswer}.
     *
     * @return the calls, at most one for each segment
     */
    public List<OutcomeCall<A>> nextCalls() {
        return nextCalls(false);
    }

    /**
     * Returns the calls required for a stop: outcomes that are not written yet are written without
     * delay.
     *
     * @return the calls, at most one for each segment
     */
    public List<OutcomeCall<A>> flushCalls() {
        return nextCalls(true);
    }

    private List<OutcomeCall<A>> nextCalls(boolean isImmediate) {
        long now = mTimeSource.monotonicNanos();
        List<OutcomeCall<A>> calls = new ArrayList<>();
        Iterator<Map.Entry<Long, Segment<A>>> entries = mSegments.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Long, Segment<A>> entry = entries.next();
            Segment<A> segment = entry.getValue();
            if (segment.mIsCallInProgress || (segment.mNotBefore - now > 0 && !isImmediate)) {
                continue;
            }
            OutcomeCall<A> call = nextCall(entry.getKey(), segment);
            if (call != null) {
                segment.mIsCallInProgress = true;
                segment.mNotBefore = now + mIntervalNanos;
                calls.add(call);
            } else if (isExpired(segment)) {
                mOutcomes -= segment.mOutcomes.size();
                entries.remove();
            }
        }
        return calls;
    }

    private OutcomeCall<A> nextCall(long number, Segment<A> segment) {
        if (isExpired(segment)) {
            boolean isWritten = segment.mVersion > 0;
            return isWritten ? new OutcomeCall.Delete<>(number, segment.mVersion) : null;
        }
        if (!segment.mIsDirty) {
            return null;
        }
        if (!segment.mIsVersionKnown) {
            return new OutcomeCall.Read<>(number);
        }
        segment.mIsDirty = false;
        return new OutcomeCall.Write<>(
                number, segment.mVersion, List.copyOf(segment.mOutcomes.values()));
    }

    private boolean isExpired(Segment<A> segment) {
        return mClock.millis() - mClockErrorMillis >= segment.mExpiresMillis;
    }

    /**
     * Processes the answer to a call.
     *
     * @param call the call
     * @param answer the answer of the platform; that to a read contains the version
     */
    public void onAnswer(OutcomeCall<A> call, StoreAnswer<Long> answer) {
        Segment<A> segment = mSegments.get(call.segment());
        Assert.isTrue(
                segment != null && segment.mIsCallInProgress,
                "No call is in progress for %s.",
                call);
        segment.mIsCallInProgress = false;
        if (answer instanceof StoreAnswer.Written<Long> written) {
            segment.mVersion = call instanceof OutcomeCall.Delete<A> ? 0 : written.version();
            return;
        }
        if (answer instanceof StoreAnswer.Held<Long> held) {
            segment.mVersion = held.contents();
            segment.mIsVersionKnown = true;
        } else if (answer instanceof StoreAnswer.Unknown<Long>) {
            segment.mIsVersionKnown = false;
        }
        segment.mIsDirty = true;
        segment.mNotBefore = mTimeSource.monotonicNanos() + retryNanos(answer);
    }

    private long retryNanos(StoreAnswer<Long> answer) {
        boolean isUnavailable =
                answer instanceof StoreAnswer.Unavailable
                        || answer instanceof StoreAnswer.Postponed;
        return isUnavailable ? mIntervalNanos * UNAVAILABLE_RETRY_INTERVALS : 0;
    }

    /**
     * Returns the number of outcomes that are not known to be stored at the platform.
     *
     * @return the count
     */
    public int unwrittenCount() {
        return mSegments.values().stream()
                .filter(segment -> segment.mIsDirty || segment.mIsCallInProgress)
                .mapToInt(segment -> segment.mOutcomes.size())
                .sum();
    }

    /**
     * Returns the number of outcomes that were not added because the maximum was reached.
     *
     * @return the count since the start
     */
    public long dropped() {
        return mDropped;
    }

    /** Outcomes of consecutive sequences. */
    private static final class Segment<A> {

        private final Map<Long, KeptOutcome<A>> mOutcomes = new TreeMap<>();
        private long mVersion;
        private boolean mIsVersionKnown = true;
        private boolean mIsDirty;
        private boolean mIsCallInProgress;
        private long mNotBefore;
        private long mExpiresMillis;
    }
}
