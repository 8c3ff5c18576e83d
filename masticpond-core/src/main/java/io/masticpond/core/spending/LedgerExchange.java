package io.masticpond.core.spending;

import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exchange with the platform that changes one ledger on behalf of one incarnation, one call at a
 * time, and determines the outcome of each change.
 *
 * <p>A change whose answer was lost stays pending, and the ledger is read back. If the holding is
 * the one that the change produced, the change took effect. If the object has a later version
 * without it, the change had no effect and never will, since its condition can no longer hold. If
 * the version is still the expected one, the same change is sent again, so that at most one of the
 * two writes meets its condition.
 */
final class LedgerExchange {

    private static final Duration INITIAL_CONFLICT_DELAY = Duration.ofMillis(4);
    private static final Duration MAXIMUM_CONFLICT_DELAY = Duration.ofMillis(500);
    private static final Duration FIRST_CALL_DELAY_PER_HOLDER = Duration.ofMillis(5);
    private static final Duration CONFLICT_DELAY_PER_HOLDER = Duration.ofMillis(2);
    private static final Duration MAXIMUM_CONFLICT_DELAY_PER_HOLDER = Duration.ofMillis(10);
    private static final Duration INITIAL_UNAVAILABLE_DELAY = Duration.ofMillis(200);
    private static final Duration MAXIMUM_UNAVAILABLE_DELAY = Duration.ofSeconds(5);

    private final LedgerKey mKey;
    private final Incarnation mHolder;
    private final LedgerSequence mSequence;
    private final LedgerSink mSink;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Backoff mConflictBackoff;
    private final Backoff mUnavailableBackoff;
    private SpendingCap mCap;
    private AccountState mState = AccountState.OPEN;
    private SpendingLedger mLedger;
    private SpendingLedger mLedgerWithCap;
    private long mVersion;
    private long mReadNanos;
    private long mNotBeforeNanos;
    private boolean mIsCallInProgress;
    private LedgerChange mPendingChange;
    private boolean mIsUncertain;
    private boolean mIsFirstCallSpread;
    private boolean mIsStale = true;

    /**
     * The ledger before the platform was restored from an older copy; null once its contents are
     * written again.
     */
    private SpendingLedger mLostLedger;

    private boolean mIsRestoring;

    LedgerExchange(LedgerKey key, SpendingCap cap, SpendingContext context) {
        mKey = key;
        mCap = cap;
        mHolder = context.holder();
        mSequence = context.sequence();
        mSink = context.sink();
        mTimeSource = context.timeSource();
        mRandom = context.random();
        mConflictBackoff = new Backoff(mRandom, INITIAL_CONFLICT_DELAY, MAXIMUM_CONFLICT_DELAY);
        mUnavailableBackoff =
                new Backoff(mRandom, INITIAL_UNAVAILABLE_DELAY, MAXIMUM_UNAVAILABLE_DELAY);
        mNotBeforeNanos = mTimeSource.monotonicNanos();
    }

    /**
     * Sets the cap of a later configuration; if it differs, the ledger is read before the next
     * change.
     */
    void setCap(SpendingCap cap) {
        mIsStale |= cap.micros() != mCap.micros();
        mCap = cap;
        mLedgerWithCap = mLedger == null ? null : mLedger.withCap(cap);
    }

    /**
     * Returns the ledger as last read, with the cap of the latest configuration, or empty if it was
     * not read yet.
     */
    Optional<SpendingLedger> ledger() {
        return Optional.ofNullable(mLedgerWithCap);
    }

    /**
     * Sets the number of instances that share the ledger, over which the first call and the retries
     * after conflicts are spread.
     */
    void setHolders(int holders) {
        if (!mIsFirstCallSpread && holders > 1) {
            mIsFirstCallSpread = true;
            long spread = FIRST_CALL_DELAY_PER_HOLDER.multipliedBy(holders).toNanos();
            mNotBeforeNanos = mTimeSource.monotonicNanos() + mRandom.nextLong(spread);
        }
        mConflictBackoff.setDelayRange(
                INITIAL_CONFLICT_DELAY.plus(CONFLICT_DELAY_PER_HOLDER.multipliedBy(holders)),
                MAXIMUM_CONFLICT_DELAY.plus(
                        MAXIMUM_CONFLICT_DELAY_PER_HOLDER.multipliedBy(holders)));
    }

    /**
     * Determines whether the ledger at the platform still has a higher cap than the one in force.
     */
    boolean isCapToBeLowered() {
        return mLedger != null
                && mVersion > 0
                && mCap.version().isAfter(mLedger.capVersion())
                && mCap.micros() < mLedger.capMicros();
    }

    /** Determines whether a call may be made now. */
    boolean canCall() {
        return !mIsCallInProgress && mTimeSource.monotonicNanos() - mNotBeforeNanos >= 0;
    }

    /** Determines whether the outcome of a change is still unknown. */
    boolean isPending() {
        return mPendingChange != null;
    }

    /** Determines whether the ledger must be read before it can be changed. */
    boolean mustRead() {
        return mIsStale || isPending() || mLostLedger != null;
    }

    /**
     * Forces a read of the ledger before the next change, since the platform may have lost changes.
     */
    void readAgain() {
        mIsStale = true;
    }

    /** Returns the time since the ledger was last read, in nanoseconds. */
    long ageNanos() {
        return mTimeSource.monotonicNanos() - mReadNanos;
    }

    /** Returns the state of the exchange: open, unavailable or faulty. */
    AccountState state() {
        return mState;
    }

    /** Reads the ledger, which also determines the outcome of a pending change. */
    void read() {
        mIsCallInProgress = true;
        mSink.read(mKey);
    }

    /** Requests an allotment. */
    void allot(long micros) {
        long sequence = nextSequence();
        change(micros, sequence, ledger -> ledger.allot(mHolder, sequence, micros));
    }

    /**
     * Returns part of an allotment; the caller must not spend it any more, whatever the outcome.
     */
    void returnAllotment(long micros) {
        long sequence = nextSequence();
        change(-micros, sequence, ledger -> ledger.returnAllotment(mHolder, sequence, micros));
    }

    /** Writes a lowered cap to the ledger. */
    void recordCap() {
        long sequence = nextSequence();
        change(0, sequence, ledger -> ledger.recordCap(mHolder, sequence));
    }

    /**
     * Processes the answer to the call in progress and returns the settlement of the pending
     * change, if its outcome is now known.
     */
    Optional<Settlement> onAnswer(LedgerAnswer answer) {
        Assert.isTrue(mIsCallInProgress, "No call for the ledger %s is in progress.", mKey);
        mIsCallInProgress = false;
        if (answer instanceof LedgerAnswer.Found found) {
            return acceptRead(found.ledger());
        }
        if (answer instanceof LedgerAnswer.Written written) {
            return written(written.version());
        }
        if (answer instanceof LedgerAnswer.Conflicted conflicted) {
            delay(mConflictBackoff);
            return conflicted(conflicted.current());
        }
        if (answer instanceof LedgerAnswer.Uncertain) {
            mIsUncertain = true;
            delay(mConflictBackoff);
            return Optional.empty();
        }
        boolean faulty = answer instanceof LedgerAnswer.Unreadable;
        mState = faulty ? AccountState.FAULTY : AccountState.AWAY;
        mIsStale |= faulty;
        delay(mUnavailableBackoff);
        return mIsUncertain ? Optional.empty() : settle(Settlement.Outcome.NO_EFFECT);
    }

    private long nextSequence() {
        return mSequence.after(mLedger.holding(mHolder).map(Holding::sequence).orElse(0L));
    }

    private void change(long delta, long sequence, UnaryOperator<SpendingLedger> step) {
        Assert.isTrue(!isPending(), "A change of the ledger %s is still pending.", mKey);
        SpendingLedger after = step.apply(mLedgerWithCap);
        mPendingChange = new LedgerChange(mVersion, mHolder, sequence, delta, after);
        mIsUncertain = false;
        send();
    }

    private void send() {
        mIsCallInProgress = true;
        mSink.write(mPendingChange);
    }

    private Optional<Settlement> written(long version) {
        Assert.isTrue(isPending(), "No change of the ledger %s is pending.", mKey);
        accept(version, mPendingChange.ledger());
        mConflictBackoff.reset();
        return settle(Settlement.Outcome.TOOK_EFFECT);
    }

    private Optional<Settlement> conflicted(Optional<VersionedLedger> current) {
        mIsStale = current.isEmpty();
        if (mIsUncertain) {
            return mIsStale ? Optional.empty() : acceptRead(current);
        }
        Optional<Settlement> settlement = settle(Settlement.Outcome.NO_EFFECT);
        if (!mIsStale) {
            acceptRead(current);
        }
        return settlement;
    }

    private Optional<Settlement> acceptRead(Optional<VersionedLedger> found) {
        long version = found.map(VersionedLedger::version).orElse(0L);
        SpendingLedger ledger =
                found.map(VersionedLedger::ledger)
                        .orElseGet(() -> SpendingLedger.empty(mKey, mCap));
        if (isPlatformRestored(version)) {
            mLostLedger = mLostLedger == null ? mLedger : mLostLedger.mergedWith(mLedger);
            Optional<Settlement> settlement =
                    settle(
                            mIsUncertain
                                    ? Settlement.Outcome.UNKNOWN
                                    : Settlement.Outcome.NO_EFFECT);
            accept(version, ledger);
            restore();
            return settlement;
        }
        if (!follows(version, ledger.revision())) {
            mState = AccountState.FAULTY;
            mIsStale = true;
            delay(mUnavailableBackoff);
            return Optional.empty();
        }
        accept(version, ledger);
        if (isPending()) {
            return settleBy(version, ledger);
        }
        restore();
        return Optional.empty();
    }

    /** Determines whether a version comes from a platform that was restored from an older copy. */
    private boolean isPlatformRestored(long version) {
        boolean isMissing = version == 0 && mVersion > 0;
        return mLedger != null && (isMissing || StoreRevision.isOfEarlierEra(mVersion, version));
    }

    /** Writes the holdings that the platform has lost, so that nothing is allotted twice. */
    private void restore() {
        if (mLostLedger != null && mLedger.containsAllOf(mLostLedger)) {
            mLostLedger = null;
        }
        if (mLostLedger != null) {
            SpendingLedger merged = mLostLedger.mergedWith(mLedger);
            long last = merged.holding(mHolder).map(Holding::sequence).orElse(0L);
            long sequence = mSequence.after(last);
            mIsRestoring = true;
            change(0, sequence, ledger -> merged.withCap(mCap).recordCap(mHolder, sequence));
        }
    }

    /** Determines whether a version is the one last read, or a later one with later changes. */
    private boolean follows(long version, long revision) {
        if (mLedger == null || version == mVersion) {
            return mLedger == null || revision == mLedger.revision();
        }
        return version > mVersion && revision > mLedger.revision();
    }

    private Optional<Settlement> settleBy(long version, SpendingLedger ledger) {
        if (mPendingChange.isAppliedIn(ledger)) {
            return settle(Settlement.Outcome.TOOK_EFFECT);
        }
        if (version == mPendingChange.expectedVersion()) {
            send();
            return Optional.empty();
        }
        boolean isCompacted = mIsUncertain && mPendingChange.mayBeCompactedIn(ledger);
        return settle(isCompacted ? Settlement.Outcome.UNKNOWN : Settlement.Outcome.NO_EFFECT);
    }

    private Optional<Settlement> settle(Settlement.Outcome outcome) {
        if (mPendingChange == null) {
            return Optional.empty();
        }
        Settlement settlement = new Settlement(mPendingChange.deltaMicros(), outcome);
        if (mIsRestoring && outcome == Settlement.Outcome.TOOK_EFFECT) {
            mLostLedger = null;
        }
        mIsRestoring = false;
        mPendingChange = null;
        mIsUncertain = false;
        return Optional.of(settlement);
    }

    private void accept(long version, SpendingLedger ledger) {
        mVersion = version;
        mLedger = ledger;
        mLedgerWithCap = ledger.withCap(mCap);
        mReadNanos = mTimeSource.monotonicNanos();
        mState = AccountState.OPEN;
        mIsStale = false;
        mUnavailableBackoff.reset();
    }

    private void delay(Backoff backoff) {
        mNotBeforeNanos = mTimeSource.monotonicNanos() + backoff.nextNanos();
    }
}
