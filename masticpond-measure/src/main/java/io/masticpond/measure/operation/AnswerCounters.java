package io.masticpond.measure.operation;

import java.util.concurrent.atomic.LongAdder;

/** What became of requests with unique bodies; safe for all threads. */
final class AnswerCounters {

    final LongAdder mWhole = new LongAdder();
    final LongAdder mFailed = new LongAdder();
    final LongAdder mMismatched = new LongAdder();
    final LongAdder mTruncatedAsWhole = new LongAdder();

    /** Sets an answer that was taken for whole against the one that belongs to the request. */
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
