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
 * Copies the outcomes of a home to the platform, many in one update: a state machine for one
 * thread.
 *
 * <p>Only the home writes its segments, each of which holds the outcomes of consecutive sequences,
 * so an update that was lost or met another version is simply made again. Nothing waits for the
 * copy: a repeat after the death of the home finds the answer if it was written in time, and is
 * told that the operation may have run if not.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public final class OutcomeBatcher<A> {

    /** How many consecutive sequences share a segment. */
    public static final int SEGMENT_SEQUENCES = 64;

    /** How many intervals pass before a platform that was away is tried again. */
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
     * Makes a batcher without outcomes.
     *
     * @param timeSource the clocks
     * @param interval how long outcomes are gathered before they are written
     * @param clockError how far the clocks of two instances may differ
     * @param maximumOutcomes how many outcomes are kept for copying; more are not copied
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
     * Tells which segment holds an outcome.
     *
     * @param key the key
     * @return the number of the segment at the home of the key
     */
    public static long segment(OperationKey key) {
        return key.sequence() / SEGMENT_SEQUENCES;
    }

    /**
     * Takes an outcome to copy, or what settles one that was taken before.
     *
     * @param outcome the outcome
     */
    public void add(KeptOutcome<A> outcome) {
        if (mOutcomes >= mMaximumOutcomes) {
            mDropped++;
            return;
        }
        long now = mTimeSource.monotonicNanos();
        Segment<A> segment =
                mSegments.computeIfAbsent(segment(outcome.key()), number -> new Segment<>());
        if (segment.mOutcomes.put(outcome.key().sequence(), outcome) == null) {
            mOutcomes++;
        }
        if (!segment.mDirty && !segment.mBusy) {
            segment.mNotBefore = now + mIntervalNanos;
        }
        segment.mDirty = true;
        segment.mExpiresMillis = Math.max(segment.mExpiresMillis, outcome.key().expiresMillis());
    }

    /**
     * Gives the calls to make now; each must be followed by one {@link #answered}.
     *
     * @return the calls, at most one for each segment
     */
    public List<OutcomeCall<A>> nextCalls() {
        return nextCalls(false);
    }

    /**
     * Gives the calls that a stop needs: what was not written yet is written without waiting.
     *
     * @return the calls, at most one for each segment
     */
    public List<OutcomeCall<A>> flushCalls() {
        return nextCalls(true);
    }

    private List<OutcomeCall<A>> nextCalls(boolean atOnce) {
        long now = mTimeSource.monotonicNanos();
        List<OutcomeCall<A>> calls = new ArrayList<>();
        Iterator<Map.Entry<Long, Segment<A>>> entries = mSegments.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Long, Segment<A>> entry = entries.next();
            Segment<A> segment = entry.getValue();
            if (segment.mBusy || (segment.mNotBefore - now > 0 && !atOnce)) {
                continue;
            }
            OutcomeCall<A> call = nextCall(entry.getKey(), segment);
            if (call != null) {
                segment.mBusy = true;
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
            boolean written = segment.mVersion > 0;
            return written ? new OutcomeCall.Delete<>(number, segment.mVersion) : null;
        }
        if (!segment.mDirty) {
            return null;
        }
        if (!segment.mVersionKnown) {
            return new OutcomeCall.Read<>(number);
        }
        segment.mDirty = false;
        return new OutcomeCall.Write<>(
                number, segment.mVersion, List.copyOf(segment.mOutcomes.values()));
    }

    private boolean isExpired(Segment<A> segment) {
        return mClock.millis() - mClockErrorMillis >= segment.mExpiresMillis;
    }

    /**
     * Takes what became of a call.
     *
     * @param call the call
     * @param answer what became of it; a read gives the version
     */
    public void answered(OutcomeCall<A> call, StoreAnswer<Long> answer) {
        Segment<A> segment = mSegments.get(call.segment());
        Assert.isTrue(segment != null && segment.mBusy, "No call is under way for %s.", call);
        segment.mBusy = false;
        if (answer instanceof StoreAnswer.Written<Long> written) {
            segment.mVersion = call instanceof OutcomeCall.Delete<A> ? 0 : written.version();
            return;
        }
        if (answer instanceof StoreAnswer.Held<Long> held) {
            segment.mVersion = held.contents();
            segment.mVersionKnown = true;
        } else if (answer instanceof StoreAnswer.Unknown<Long>) {
            segment.mVersionKnown = false;
        }
        segment.mDirty = true;
        segment.mNotBefore = mTimeSource.monotonicNanos() + retryNanos(answer);
    }

    private long retryNanos(StoreAnswer<Long> answer) {
        boolean away =
                answer instanceof StoreAnswer.Unavailable
                        || answer instanceof StoreAnswer.Postponed;
        return away ? mIntervalNanos * UNAVAILABLE_RETRY_INTERVALS : 0;
    }

    /**
     * Counts the outcomes that the platform is not known to hold.
     *
     * @return the count
     */
    public int unwritten() {
        return mSegments.values().stream()
                .filter(segment -> segment.mDirty || segment.mBusy)
                .mapToInt(segment -> segment.mOutcomes.size())
                .sum();
    }

    /**
     * Counts the outcomes that were not taken for want of room.
     *
     * @return the count since the start
     */
    public long dropped() {
        return mDropped;
    }

    /** The outcomes of consecutive sequences. */
    private static final class Segment<A> {

        private final Map<Long, KeptOutcome<A>> mOutcomes = new TreeMap<>();
        private long mVersion;
        private boolean mVersionKnown = true;
        private boolean mDirty;
        private boolean mBusy;
        private long mNotBefore;
        private long mExpiresMillis;
    }
}
