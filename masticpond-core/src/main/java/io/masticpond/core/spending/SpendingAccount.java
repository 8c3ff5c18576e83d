package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.Optional;

/**
 * What this incarnation may spend of one service in one shift.
 *
 * <p>A state machine for one thread. It pays only from allotments that the ledger is known to show,
 * asks for more when it holds less than half of what its policy aims at, and returns what it holds
 * in excess: when its rate falls, when the cap is lowered below what is allotted, and when it
 * closes. Nobody else can take its allotment, so nothing that happens to it meanwhile does harm.
 */
final class SpendingAccount {

    private static final Duration SHORTEST_RECHECK = Duration.ofSeconds(10);
    private static final Duration LONGEST_RECHECK = Duration.ofMinutes(5);
    private static final int RECHECKS = 20;
    private static final Duration RECHECK_PER_HOLDER = Duration.ofMillis(200);

    /** What was seen longer ago is read again before a change, since reads are cheaper. */
    private static final Duration FRESH = Duration.ofMillis(20);

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
    private boolean mExhausted;
    private boolean mClosing;

    SpendingAccount(LedgerKey key, Shift shift, SpendingCap cap, SpendingContext context) {
        mKey = key;
        mShift = shift;
        mCap = cap;
        mPolicy = context.policy();
        mTimeSource = context.timeSource();
        mExchange = new LedgerExchange(key, cap, context);
        mRate = new SpendingRate(0, mTimeSource.monotonicNanos());
    }

    /** Takes the times and the cap of the configuration in force. */
    void terms(Shift shift, SpendingCap cap) {
        mShift = shift;
        if (cap.version().isAfter(mCap.version())) {
            mCap = cap;
            mExchange.cap(cap);
        }
    }

    /** Takes how many instances share the ledger. */
    void holders(int holders) {
        mHolders = (int) Assert.positive(holders, "A number of holders");
        mExchange.holders(holders);
    }

    /** Takes the highest price that the configuration states for the service. */
    void price(long micros) {
        mHighestPriceMicros = Math.max(mHighestPriceMicros, micros);
    }

    /** Says whether to return all that is held and take no more. */
    void closing(boolean closing) {
        mClosing = closing;
    }

    /** Tells whether nothing is held and nothing is left to settle. */
    boolean isClosed() {
        return mClosing && mAvailableMicros == 0 && !mExchange.isPending();
    }

    /** Takes a price from the allotment, or tells that it does not suffice. */
    boolean charge(long micros) {
        mRate.add(micros);
        price(micros);
        if (mAvailableMicros - micros < mRefillBelowMicros && !mExhausted) {
            advance();
        }
        if (mClosing || micros > mAvailableMicros) {
            return false;
        }
        mAvailableMicros -= micros;
        mSpentMicros += micros;
        return true;
    }

    /** Tells whether this account charged at least so much. */
    boolean canRefund(long micros) {
        return micros <= mSpentMicros;
    }

    /** Puts back a price whose attempt did not run. */
    void refund(long micros) {
        Assert.isTrue(canRefund(micros), "A refund of %d of %s was not charged.", micros, mKey);
        mAvailableMicros += micros;
        mSpentMicros -= micros;
    }

    /** Tells why a price cannot be paid now. */
    AccountState stateFor(long micros) {
        if (mCap.micros() == 0 || reachableMicros() < micros) {
            return AccountState.EXHAUSTED;
        }
        return mExchange.state();
    }

    /** Tells what stands in the way of exchanges with the platform, if anything. */
    AccountState exchangeState() {
        return mExchange.state();
    }

    /** Tells the shift that the account pays in. */
    Shift shift() {
        return mShift;
    }

    /** Takes the answer to a call about the ledger. */
    void onAnswer(LedgerAnswer answer) {
        Optional<Settlement> settlement = mExchange.onAnswer(answer);
        settlement.ifPresent(settled -> mAvailableMicros += settled.spendableMicros());
        advance();
    }

    /** Lets time act: makes the next call about the ledger if one is due. */
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

    /** Has the ledger read again, since the platform may have lost changes. */
    void readAgain() {
        mExchange.readAgain();
        advance();
    }

    /** Describes the account for operators. */
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
        mExhausted = remaining == 0 || reachableMicros() < mHighestPriceMicros;
        long excess = excess(ledger, target);
        long wanted = wanted(remaining, target);
        boolean changes = excess > 0 || wanted > 0 || mExchange.isCapToBeLowered();
        boolean fresh = mExchange.ageNanos() <= FRESH.toNanos();
        if (changes ? !fresh : isRecheckDue(remaining)) {
            mExchange.read();
            return;
        }
        if (excess > 0) {
            mAvailableMicros -= excess;
            mExchange.returnAllotment(excess);
        } else if (mExchange.isCapToBeLowered()) {
            mExchange.restate();
        } else if (wanted > 0) {
            mExchange.allot(wanted);
        }
    }

    private long wanted(long remaining, long target) {
        boolean enough = mAvailableMicros >= mRefillBelowMicros;
        return mClosing || mExhausted || enough
                ? 0
                : Math.min(remaining, target - mAvailableMicros);
    }

    private boolean isRecheckDue(long remaining) {
        boolean underWay = mShift.contains(mTimeSource.instant());
        return underWay && !mClosing && mExchange.ageNanos() > recheckNanos(remaining);
    }

    private long excess(SpendingLedger ledger, long target) {
        if (mClosing) {
            return mAvailableMicros;
        }
        long overCap = Math.max(0, ledger.allottedMicros() - ledger.capMicros());
        long surplus = mAvailableMicros > SURPLUS_FACTOR * target ? mAvailableMicros - target : 0;
        return Math.max(Math.min(overCap, mAvailableMicros), surplus);
    }

    private long target(long remaining) {
        return Math.max(1, mPolicy.target(rate(), remaining, mHolders, mHighestPriceMicros));
    }

    /** Estimates the rate of spending: what is measured, or an equal share of the cap if more. */
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

    /** Tells how long what was last seen is good for: a part of the time that the rest lasts. */
    private long recheckNanos(long remaining) {
        double rate = Math.max(1, rate() * mHolders);
        double lasts = remaining / rate * NANOS_PER_SECOND / RECHECKS;
        long shared = RECHECK_PER_HOLDER.multipliedBy(mHolders).toNanos();
        long shortest = Math.max(SHORTEST_RECHECK.toNanos(), shared);
        return Math.max(shortest, (long) Math.min(lasts, (double) LONGEST_RECHECK.toNanos()));
    }
}
