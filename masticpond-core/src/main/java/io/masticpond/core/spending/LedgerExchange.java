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
 * Changes one ledger at the platform on behalf of one incarnation, one call at a time, and settles
 * what became of each change.
 *
 * <p>A change whose answer was lost stays pending. The ledger is read back: if the holder's holding
 * is the one that the change made, it took effect. If the object has a later version without it, it
 * had no effect and never will, since its condition can no longer hold. If the version is still the
 * expected one, the same change is made again, so that one of the two fails its condition.
 */
final class LedgerExchange {

    private static final Duration FIRST_CONFLICT_DELAY = Duration.ofMillis(4);
    private static final Duration LONGEST_CONFLICT_DELAY = Duration.ofMillis(500);
    private static final Duration FIRST_CALL_DELAY_PER_HOLDER = Duration.ofMillis(5);
    private static final Duration CONFLICT_DELAY_PER_HOLDER = Duration.ofMillis(2);
    private static final Duration LONGEST_DELAY_PER_HOLDER = Duration.ofMillis(10);
    private static final Duration FIRST_UNAVAILABLE_DELAY = Duration.ofMillis(200);
    private static final Duration LONGEST_UNAVAILABLE_DELAY = Duration.ofSeconds(5);

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
    private SpendingLedger mLedgerInForce;
    private long mVersion;
    private long mReadNanos;
    private long mNotBeforeNanos;
    private boolean mCalling;
    private LedgerChange mPending;
    private boolean mUncertain;
    private boolean mSpread;
    private boolean mStale = true;

    /** What the platform knew before it came back from an older copy; null once it is restored. */
    private SpendingLedger mLost;

    private boolean mIsRestoring;

    LedgerExchange(LedgerKey key, SpendingCap cap, SpendingContext context) {
        mKey = key;
        mCap = cap;
        mHolder = context.holder();
        mSequence = context.sequence();
        mSink = context.sink();
        mTimeSource = context.timeSource();
        mRandom = context.random();
        mConflictBackoff = new Backoff(mRandom, FIRST_CONFLICT_DELAY, LONGEST_CONFLICT_DELAY);
        mUnavailableBackoff =
                new Backoff(mRandom, FIRST_UNAVAILABLE_DELAY, LONGEST_UNAVAILABLE_DELAY);
        mNotBeforeNanos = mTimeSource.monotonicNanos();
    }

    /** Takes a cap of a later configuration; if it differs, the ledger is read first. */
    void cap(SpendingCap cap) {
        mStale |= cap.micros() != mCap.micros();
        mCap = cap;
        mLedgerInForce = mLedger == null ? null : mLedger.withCap(cap);
    }

    /** Tells the ledger as last seen, with the cap of the latest configuration; or empty. */
    Optional<SpendingLedger> ledger() {
        return Optional.ofNullable(mLedgerInForce);
    }

    /** Spreads the first call, and retries after conflicts, over so many instances. */
    void holders(int holders) {
        if (!mSpread && holders > 1) {
            mSpread = true;
            long spread = FIRST_CALL_DELAY_PER_HOLDER.multipliedBy(holders).toNanos();
            mNotBeforeNanos = mTimeSource.monotonicNanos() + mRandom.nextLong(spread);
        }
        mConflictBackoff.range(
                FIRST_CONFLICT_DELAY.plus(CONFLICT_DELAY_PER_HOLDER.multipliedBy(holders)),
                LONGEST_CONFLICT_DELAY.plus(LONGEST_DELAY_PER_HOLDER.multipliedBy(holders)));
    }

    /** Tells whether the ledger at the platform still has a higher cap than the one in force. */
    boolean isCapToBeLowered() {
        return mLedger != null
                && mVersion > 0
                && mCap.version().isAfter(mLedger.capVersion())
                && mCap.micros() < mLedger.capMicros();
    }

    /** Tells whether a call may be made now. */
    boolean canCall() {
        return !mCalling && mTimeSource.monotonicNanos() - mNotBeforeNanos >= 0;
    }

    /** Tells whether a change is not settled yet. */
    boolean isPending() {
        return mPending != null;
    }

    /** Tells whether the ledger must be read before it can be changed. */
    boolean mustRead() {
        return mStale || isPending() || mLost != null;
    }

    /** Has the ledger read before anything else, since the platform may have lost changes. */
    void readAgain() {
        mStale = true;
    }

    /** Tells how long ago the ledger was last seen, in nanoseconds. */
    long ageNanos() {
        return mTimeSource.monotonicNanos() - mReadNanos;
    }

    /** Tells what stands in the way of calls: open, away or faulty. */
    AccountState state() {
        return mState;
    }

    /** Reads the ledger; with a change pending, in order to settle it. */
    void read() {
        mCalling = true;
        mSink.read(mKey);
    }

    /** Takes an allotment. */
    void allot(long micros) {
        long sequence = nextSequence();
        change(micros, sequence, ledger -> ledger.allot(mHolder, sequence, micros));
    }

    /** Returns part of an allotment, which must not be spent any more, whatever the outcome. */
    void returnAllotment(long micros) {
        long sequence = nextSequence();
        change(-micros, sequence, ledger -> ledger.returnAllotment(mHolder, sequence, micros));
    }

    /** Puts a lowered cap on record. */
    void restate() {
        long sequence = nextSequence();
        change(0, sequence, ledger -> ledger.restate(mHolder, sequence));
    }

    /** Takes the answer to the call, and tells what was settled by it. */
    Optional<Settlement> onAnswer(LedgerAnswer answer) {
        Assert.isTrue(mCalling, "No call about the ledger %s is under way.", mKey);
        mCalling = false;
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
            mUncertain = true;
            delay(mConflictBackoff);
            return Optional.empty();
        }
        boolean faulty = answer instanceof LedgerAnswer.Unreadable;
        mState = faulty ? AccountState.FAULTY : AccountState.UNAVAILABLE;
        mStale |= faulty;
        delay(mUnavailableBackoff);
        return mUncertain ? Optional.empty() : settle(Settlement.Outcome.NO_EFFECT);
    }

    private long nextSequence() {
        return mSequence.after(mLedger.holding(mHolder).map(Holding::sequence).orElse(0L));
    }

    private void change(long delta, long sequence, UnaryOperator<SpendingLedger> step) {
        Assert.isTrue(!isPending(), "A change of the ledger %s is not settled yet.", mKey);
        SpendingLedger after = step.apply(mLedgerInForce);
        mPending = new LedgerChange(mVersion, mHolder, sequence, delta, after);
        mUncertain = false;
        send();
    }

    private void send() {
        mCalling = true;
        mSink.write(mPending);
    }

    private Optional<Settlement> written(long version) {
        Assert.isTrue(isPending(), "No change of the ledger %s is pending.", mKey);
        accept(version, mPending.ledger());
        mConflictBackoff.reset();
        return settle(Settlement.Outcome.TOOK_EFFECT);
    }

    private Optional<Settlement> conflicted(Optional<VersionedLedger> current) {
        mStale = current.isEmpty();
        if (mUncertain) {
            return mStale ? Optional.empty() : acceptRead(current);
        }
        Optional<Settlement> settlement = settle(Settlement.Outcome.NO_EFFECT);
        if (!mStale) {
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
            mLost = mLost == null ? mLedger : mLost.joinedWith(mLedger);
            Optional<Settlement> settlement =
                    settle(mUncertain ? Settlement.Outcome.UNKNOWN : Settlement.Outcome.NO_EFFECT);
            accept(version, ledger);
            restore();
            return settlement;
        }
        if (!follows(version, ledger.revision())) {
            mState = AccountState.FAULTY;
            mStale = true;
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

    /** Tells whether a version is of a platform that came back from an older copy. */
    private boolean isPlatformRestored(long version) {
        boolean isLost = version == 0 && mVersion > 0;
        return mLedger != null && (isLost || StoreRevision.isOfEarlierEra(mVersion, version));
    }

    /** Writes again what the platform has lost, so that nothing is allotted twice. */
    private void restore() {
        if (mLost != null && mLedger.holdsAllOf(mLost)) {
            mLost = null;
        }
        if (mLost != null) {
            SpendingLedger joined = mLost.joinedWith(mLedger);
            long last = joined.holding(mHolder).map(Holding::sequence).orElse(0L);
            long sequence = mSequence.after(last);
            mIsRestoring = true;
            change(0, sequence, ledger -> joined.withCap(mCap).restate(mHolder, sequence));
        }
    }

    /** Tells whether a version found is the one last seen, or later with later changes. */
    private boolean follows(long version, long revision) {
        if (mLedger == null || version == mVersion) {
            return mLedger == null || revision == mLedger.revision();
        }
        return version > mVersion && revision > mLedger.revision();
    }

    private Optional<Settlement> settleBy(long version, SpendingLedger ledger) {
        if (mPending.isIn(ledger)) {
            return settle(Settlement.Outcome.TOOK_EFFECT);
        }
        if (version == mPending.expectedVersion()) {
            send();
            return Optional.empty();
        }
        boolean lost = mUncertain && mPending.mayBeCompactedIn(ledger);
        return settle(lost ? Settlement.Outcome.UNKNOWN : Settlement.Outcome.NO_EFFECT);
    }

    private Optional<Settlement> settle(Settlement.Outcome outcome) {
        if (mPending == null) {
            return Optional.empty();
        }
        Settlement settlement = new Settlement(mPending.deltaMicros(), outcome);
        if (mIsRestoring && outcome == Settlement.Outcome.TOOK_EFFECT) {
            mLost = null;
        }
        mIsRestoring = false;
        mPending = null;
        mUncertain = false;
        return Optional.of(settlement);
    }

    private void accept(long version, SpendingLedger ledger) {
        mVersion = version;
        mLedger = ledger;
        mLedgerInForce = ledger.withCap(mCap);
        mReadNanos = mTimeSource.monotonicNanos();
        mState = AccountState.OPEN;
        mStale = false;
        mUnavailableBackoff.reset();
    }

    private void delay(Backoff backoff) {
        mNotBeforeNanos = mTimeSource.monotonicNanos() + backoff.nextNanos();
    }
}
