package io.masticpond.measure.operation;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the outcomes of requests with unique bodies. Thread-safe. */
final class AnswerCounters {

    final LongAdder mWhole = new LongAdder();
    final LongAdder mFailed = new LongAdder();
    final LongAdder mMismatched = new LongAdder();
    final LongAdder mTruncatedAsWhole = new LongAdder();

    /**
     * Compares an answer that was received as whole with the one that belongs to the request, and
     * counts the result.
     */
    void check(String answer, String expected) {
        if (answer.equals(expected)) {
            mWhole.increment();
        } else if (expected.startsWith(answer)) {
            mTruncatedAsWhole.increment();
        } else {
            mMismatched.increment();
        }
    }

    long requests() {
        return mWhole.sum() + mFailed.sum() + mMismatched.sum() + mTruncatedAsWhole.sum();
    }
}
