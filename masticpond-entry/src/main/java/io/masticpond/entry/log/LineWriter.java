package io.masticpond.entry.log;

import io.masticpond.core.time.TimeSource;
import java.io.OutputStream;
import java.time.Duration;

/**
 * Empties the rings within the budget. What waits of a class is written before any line of a class
 * behind it; plain lines that find no budget are left out evenly, the others wait. Logging thread
 * only.
 */
final class LineWriter {

    /** How often missing lines are told of. */
    static final Duration DROP_SUMMARY_INTERVAL = Duration.ofSeconds(10);

    private final LineRings mRings;
    private final LineCounts mCounts;
    private final TimeSource mTimeSource;
    private final LineBatch mBatch;
    private final LineBudget mBudget;
    private DropSummaryLine mTold;
    private long mToldNanos;

    LineWriter(
            LineRings rings,
            LineCounts counts,
            LogOptions options,
            TimeSource timeSource,
            OutputStream output) {
        mRings = rings;
        mCounts = counts;
        mTimeSource = timeSource;
        mBatch = new LineBatch(output, counts);
        mToldNanos = timeSource.monotonicNanos();
        mBudget = new LineBudget(options.linesPerSecond(), mToldNanos);
        mTold = DropSummaryLine.total(counts);
    }

    LineBudget budget() {
        return mBudget;
    }

    /** Writes what the budget allows now, and tells whether that was anything. */
    boolean writeBatch() {
        long nowNanos = mTimeSource.monotonicNanos();
        mBudget.refill(nowNanos);
        write(LinePriority.NOTEWORTHY);
        if (mRings.waiting(LinePriority.NOTEWORTHY) == 0) {
            write(LinePriority.SENTENCE);
        }
        samplePlain();
        if (nowNanos - mToldNanos >= DROP_SUMMARY_INTERVAL.toNanos()) {
            reportDrops(nowNanos);
        }
        return mBatch.write();
    }

    /** Writes all that waits, whatever the budget, and what is missing. */
    void writeRest() {
        for (LinePriority lineClass : LinePriority.values()) {
            int waiting = mRings.waiting(lineClass);
            for (int index = 0; index < waiting; index++) {
                add(mRings.poll(lineClass));
            }
        }
        reportDrops(mTimeSource.monotonicNanos());
        mBatch.write();
    }

    /** Tells whether lines are missing that were not told of. */
    boolean hasUnreportedDrops() {
        return !DropSummaryLine.total(mCounts).since(mTold).isNone();
    }

    private void write(LinePriority lineClass) {
        int count = Math.min(mBudget.allowed(lineClass), mRings.waiting(lineClass));
        for (int index = 0; index < count; index++) {
            add(mRings.poll(lineClass));
        }
        mBudget.take(count);
    }

    private void samplePlain() {
        int waiting = mRings.waiting(LinePriority.PLAIN);
        int allowed = Math.min(waiting, mBudget.allowed(LinePriority.PLAIN));
        if (mRings.waiting(LinePriority.NOTEWORTHY) > 0) {
            allowed = 0;
        }
        for (int index = 0; index < waiting; index++) {
            TimedLine line = mRings.poll(LinePriority.PLAIN);
            // Spreads the allowed ones evenly over those that wait.
            boolean kept =
                    (long) (index + 1) * allowed / waiting > (long) index * allowed / waiting;
            if (kept) {
                add(line);
            }
        }
        mBudget.take(allowed);
        if (waiting > allowed) {
            mCounts.dropped(LinePriority.PLAIN, waiting - allowed);
        }
    }

    private void reportDrops(long nowNanos) {
        DropSummaryLine total = DropSummaryLine.total(mCounts);
        DropSummaryLine untold = total.since(mTold);
        if (!untold.isNone()) {
            mBatch.add(mTimeSource.instant().toEpochMilli(), untold);
            mTold = total;
        }
        mToldNanos = nowNanos;
    }

    private void add(TimedLine line) {
        if (line != null) {
            mBatch.add(line.wallMillis(), line.content());
        }
    }
}
