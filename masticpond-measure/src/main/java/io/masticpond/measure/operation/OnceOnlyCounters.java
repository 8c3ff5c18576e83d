package io.masticpond.measure.operation;

import io.masticpond.core.request.RefusalCause;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the outcomes that callers of once-only operations observed, compared with what ran.
 * Thread-safe.
 */
final class OnceOnlyCounters {

    final LongAdder mAnswered = new LongAdder();
    final LongAdder mDidNotRun = new LongAdder();
    final LongAdder mAttempts = new LongAdder();
    final LongAdder mLostAnswers = new LongAdder();
    final LongAdder mFalseDidNotRun = new LongAdder();
    final LongAdder mLost = new LongAdder();
    final LongAdder mMismatched = new LongAdder();
    final LongAdder mChangedAnswers = new LongAdder();
    final LongAdder mDuplicates = new LongAdder();
    final LongAdder mRepeatsAnswered = new LongAdder();

    private final Map<RefusalCause, LongAdder> mUnknown = new ConcurrentHashMap<>();
    private final LongAdder mUnknownThatRan = new LongAdder();

    /** Records an operation whose caller gave up without knowing its outcome. */
    void recordUnknown(RefusalCause lastCause, boolean ran) {
        mUnknown.computeIfAbsent(lastCause, cause -> new LongAdder()).increment();
        if (ran) {
            mUnknownThatRan.increment();
        }
    }

    long unknown() {
        return mUnknown.values().stream().mapToLong(LongAdder::sum).sum();
    }

    long unknownThatRan() {
        return mUnknownThatRan.sum();
    }

    /**
     * Returns the number of operations with an unknown outcome, by the last refusal cause that the
     * caller received.
     */
    Map<RefusalCause, Long> unknownByCause() {
        Map<RefusalCause, Long> counts = new EnumMap<>(RefusalCause.class);
        mUnknown.forEach((cause, count) -> counts.put(cause, count.sum()));
        return counts;
    }
}
