package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.Optional;

/**
 * Account of the amount that this incarnation may spend for one service in one shift.
 *
 * <p>A state machine that must be used by one thread only. It charges only allotments that are
 * known to be recorded in the ledger, requests more when it holds less than half of the target of
 * its policy, and returns any excess: when its rate falls, when the cap is lowered below the sum of
 * allotments, and when it closes. No other instance can take its allotment, so an interruption of
 * any kind in the meantime is harmless.
 */
final class SpendingAccount {

    private static final Duration MINIMUM_RECHECK_INTERVAL = Duration.ofSeconds(10);
    private static final Duration MAXIMUM_RECHECK_INTERVAL = Duration.ofMinutes(5);
    private static final int RECHECK_DIVISOR = 20;
    private static final Duration RECHECK_INTERVAL_PER_HOLDER = Duration.ofMillis(200);

    /**
     * A ledger that was read longer ago is read again before a change, since a read is cheaper than
     * a change.
     */
    private static final Duration MAXIMUM_READ_AGE = Duration.ofMillis(20);

    private static final long REFILL_DIVISOR = 2;
    private static final long SURPLUS_FACTOR = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LedgerKey mKey;
    private Shift mShift;
    private final AllotmentPolicy mPolicy;
    private final TimeSource mTimeSource;
    private final LedgerExchange mExchange;
    private final SpendingRate mRate;
    private SpendingCap mCap;
    private int mHolders = 1;
    private long mAvailableMicros;
    private long mSpentMicros;
    private long mHighestPriceMicros;
    private long mRefillBelowMicros;
    private boolean mIsExhausted;
    private boolean mIsClosing;

    SpendingAccount(LedgerKey key, Shift shift, SpendingCap cap, SpendingContext context) {
        mKey = key;
        mShift = shift;
        mCap = cap;
        mPolicy = context.policy();
        mTimeSource = context.timeSource();
        mExchange = new LedgerExchange(key, cap, context);
        mRate = new SpendingRate(0, mTimeSource.monotonicNanos());
    }

    /** Applies the times and the cap of the configuration in force. */
    void applyTerms(Shift shift, SpendingCap cap) {
        mShift = shift;
        if (cap.version().isAfter(mCap.version())) {
            mCap = cap;
            mExchange.setCap(cap);
        }
    }

    /** Sets the number of instances that share the ledger. */
    void setHolders(int holders) {
        mHolders = (int) Assert.positive(holders, "A number of holders");
        mExchange.setHolders(holders);
    }

    /**
     * Raises the highest known price to the given one, such as that of the configuration in force,
     * if it is higher.
     */
    void raiseHighestPrice(long micros) {
        mHighestPriceMicros = Math.max(mHighestPriceMicros, micros);
    }

    /** Sets whether the account returns its whole holding and requests no more. */
    void setClosing(boolean closing) {
        mIsClosing = closing;
    }

    /** Determines whether the account is closing, holds nothing and has no pending change. */
    boolean isClosed() {
        return mIsClosing && mAvailableMicros == 0 && !mExchange.isPending();
    }

    /**
     * Charges a price to the allotment, or returns {@code false} if the allotment does not suffice.
     */
    boolean charge(long micros) {
        mRate.add(micros);
        raiseHighestPrice(micros);
        if (mAvailableMicros - micros < mRefillBelowMicros && !mIsExhausted) {
            advance();
        }
        if (mIsClosing || micros > mAvailableMicros) {
            return false;
        }
        mAvailableMicros -= micros;
        mSpentMicros += micros;
        return true;
    }

    /** Determines whether this account has charged at least the given amount. */
    boolean canRefund(long micros) {
        return micros <= mSpentMicros;
    }

    /** Refunds the price of an attempt that did not run. */
    void refund(long micros) {
        Assert.isTrue(
                canRefund(micros),
                "A refund of %d to %s exceeds the amount charged.",
                micros,
                mKey);
        mAvailableMicros += micros;
        mSpentMicros -= micros;
    }

    /** Returns the reason why a price cannot be charged now. */
    AccountState stateFor(long micros) {
        if (mCap.micros() == 0 || reachableMicros() < micros) {
            return AccountState.EXHAUSTED;
        }
        return mExchange.state();
    }

    /** Returns the state of the exchange with the platform. */
    AccountState exchangeState() {
        return mExchange.state();
    }

    /** Returns the shift that the account charges. */
    Shift shift() {
        return mShift;
    }

    /** Processes the answer to a call for the ledger. */
    void onAnswer(LedgerAnswer answer) {
        Optional<Settlement> settlement = mExchange.onAnswer(answer);
        settlement.ifPresent(settled -> mAvailableMicros += settled.spendableMicros());
        advance();
    }

    /** Advances to the current time and makes the next call for the ledger if one is due. */
    void advance() {
        mRate.advance(mTimeSource.monotonicNanos());
        if (!mExchange.canCall() || isClosed()) {
            return;
        }
        if (mExchange.mustRead()) {
            mExchange.read();
            return;
        }
        mExchange.ledger().ifPresent(this::change);
    }

    /** Reads the ledger again, since the platform may have lost changes. */
    void readAgain() {
        mExchange.readAgain();
        advance();
    }

    /** Returns a snapshot of the account for operators. */
    SpendingView view() {
        Optional<SpendingLedger> ledger = mExchange.ledger();
        return new SpendingView(
                mKey,
                mShift,
                mHolders,
                ledger.map(SpendingLedger::capMicros).orElse(mCap.micros()),
                ledger.map(SpendingLedger::allottedMicros).orElse(0L),
                mAvailableMicros,
                mSpentMicros,
                mRate.perSecond(),
                stateFor(1));
    }

    private void change(SpendingLedger ledger) {
        long remaining = ledger.remainingMicros();
        long target = target(remaining);
        mRefillBelowMicros = Math.max(target / REFILL_DIVISOR, mHighestPriceMicros);
        mIsExhausted = remaining == 0 || reachableMicros() < mHighestPriceMicros;
        long excess = excess(ledger, target);
        long refill = refill(remaining, target);
        boolean hasChange = excess > 0 || refill > 0 || mExchange.isCapToBeLowered();
        boolean isRecent = mExchange.ageNanos() <= MAXIMUM_READ_AGE.toNanos();
        if (hasChange ? !isRecent : isRecheckDue(remaining)) {
            mExchange.read();
            return;
        }
        if (excess > 0) {
            mAvailableMicros -= excess;
            mExchange.returnAllotment(excess);
        } else if (mExchange.isCapToBeLowered()) {
            mExchange.recordCap();
        } else if (refill > 0) {
            mExchange.allot(refill);
        }
    }

    private long refill(long remaining, long target) {
        boolean isSufficient = mAvailableMicros >= mRefillBelowMicros;
        return mIsClosing || mIsExhausted || isSufficient
                ? 0
                : Math.min(remaining, target - mAvailableMicros);
    }

    private boolean isRecheckDue(long remaining) {
        boolean isInShift = mShift.contains(mTimeSource.instant());
        return isInShift && !mIsClosing && mExchange.ageNanos() > recheckNanos(remaining);
    }

    private long excess(SpendingLedger ledger, long target) {
        if (mIsClosing) {
            return mAvailableMicros;
        }
        long overCap = Math.max(0, ledger.allottedMicros() - ledger.capMicros());
        long surplus = mAvailableMicros > SURPLUS_FACTOR * target ? mAvailableMicros - target : 0;
        return Math.max(Math.min(overCap, mAvailableMicros), surplus);
    }

    private long target(long remaining) {
        return Math.max(1, mPolicy.target(rate(), remaining, mHolders, mHighestPriceMicros));
    }

    /**
     * Returns the estimated rate of spending: the measured rate, or an equal share of the cap if
     * that is higher.
     */
    private double rate() {
        double seconds = mShift.length().toNanos() / NANOS_PER_SECOND;
        return Math.max(mRate.perSecond(), mCap.micros() / seconds / mHolders);
    }

    private long reachableMicros() {
        return mExchange
                .ledger()
                .map(ledger -> ledger.remainingMicros() + mAvailableMicros)
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns how long the ledger that was last read is considered current: a fraction of the time
     * that the remainder lasts at the estimated rate.
     */
    private long recheckNanos(long remaining) {
        double rate = Math.max(1, rate() * mHolders);
        double fractionNanos = remaining / rate * NANOS_PER_SECOND / RECHECK_DIVISOR;
        long perHolder = RECHECK_INTERVAL_PER_HOLDER.multipliedBy(mHolders).toNanos();
        long minimum = Math.max(MINIMUM_RECHECK_INTERVAL.toNanos(), perHolder);
        return Math.max(
                minimum,
                (long) Math.min(fractionNanos, (double) MAXIMUM_RECHECK_INTERVAL.toNanos()));
    }
}
