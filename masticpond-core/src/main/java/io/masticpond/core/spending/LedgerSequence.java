package io.masticpond.core.spending;

/** Sequence of the numbers of changes that one incarnation makes in all its ledgers. */
final class LedgerSequence {

    private long mLast;

    /** Returns a number above all numbers returned before and above one read from a ledger. */
    long after(long minimum) {
        mLast = Math.max(mLast, minimum) + 1;
        return mLast;
    }
}
