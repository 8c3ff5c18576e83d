package io.masticpond.entry.log;

import io.masticpond.core.time.TimeSource;
import java.io.OutputStream;
import java.time.Duration;

/**
 * Writer that drains the rings within the budget. Queued lines are written in the order of their
 * priorities. Plain lines above the budget are dropped at even intervals, lines of other priorities
 * stay queued. To be used by the logging thread only.
 */
final class LineWriter {

    /** The interval at which dropped lines are reported. */
    static final Duration DROP_SUMMARY_INTERVAL = Duration.ofSeconds(10);

    private final LineRings mRings;
    private final LineCounts mCounts;
    private final TimeSource mTimeSource;
    private final LineBatch mBatch;
    private final LineBudget mBudget;
    private DropSummaryLine mReported;
    private long mReportedNanos;

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
        mReportedNanos = timeSource.monotonicNanos();
        mBudget = new LineBudget(options.linesPerSecond(), mReportedNanos);
        mReported = DropSummaryLine.total(counts);
    }

    LineBudget budget() {
        return mBudget;
    }

    /** Writes the lines that the budget allows, and returns whether any were written. */
    boolean writeBatch() {
        long nowNanos = mTimeSource.monotonicNanos();
        mBudget.refill(nowNanos);
        write(LinePriority.NOTEWORTHY);
        if (mRings.size(LinePriority.NOTEWORTHY) == 0) {
            write(LinePriority.SENTENCE);
        }
        samplePlain();
        if (nowNanos - mReportedNanos >= DROP_SUMMARY_INTERVAL.toNanos()) {
            reportDrops(nowNanos);
        }
        return mBatch.write();
    }

    /** Writes all queued lines regardless of the budget, then the summary of dropped lines. */
    void writeRest() {
        for (LinePriority priority : LinePriority.values()) {
            int queued = mRings.size(priority);
            for (int index = 0; index < queued; index++) {
                add(mRings.poll(priority));
            }
        }
        reportDrops(mTimeSource.monotonicNanos());
        mBatch.write();
    }

    /** Determines whether lines are missing that have not been reported. */
    boolean hasUnreportedDrops() {
        return !DropSummaryLine.total(mCounts).since(mReported).isNone();
    }

    private void write(LinePriority priority) {
        int count = Math.min(mBudget.allowed(priority), mRings.size(priority));
        for (int index = 0; index < count; index++) {
            add(mRings.poll(priority));
        }
        mBudget.take(count);
    }

    private void samplePlain() {
        int queued = mRings.size(LinePriority.PLAIN);
        int allowed = Math.min(queued, mBudget.allowed(LinePriority.PLAIN));
        if (mRings.size(LinePriority.NOTEWORTHY) > 0) {
            allowed = 0;
        }
        for (int index = 0; index < queued; index++) {
            TimedLine line = mRings.poll(LinePriority.PLAIN);
            // Spreads the allowed lines evenly over the queued ones.
            boolean kept = (long) (index + 1) * allowed / queued > (long) index * allowed / queued;
            if (kept) {
                add(line);
            }
        }
        mBudget.take(allowed);
        if (queued > allowed) {
            mCounts.dropped(LinePriority.PLAIN, queued - allowed);
        }
    }

    private void reportDrops(long nowNanos) {
        DropSummaryLine total = DropSummaryLine.total(mCounts);
        DropSummaryLine unreported = total.since(mReported);
        if (!unreported.isNone()) {
            mBatch.add(mTimeSource.instant().toEpochMilli(), unreported);
            mReported = total;
        }
        mReportedNanos = nowNanos;
    }

    private void add(TimedLine line) {
        if (line != null) {
            mBatch.add(line.wallMillis(), line.content());
        }
    }
}
