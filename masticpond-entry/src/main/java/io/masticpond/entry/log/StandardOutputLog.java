package io.masticpond.entry.log;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.util.concurrent.locks.LockSupport;

/**
 * Hands lines over bounded rings to one thread that encodes and writes them in batches.
 *
 * <p>A thread that logs pays for one offer; it wakes the logging thread only if that sleeps for
 * want of lines, or once when a ring is half full. An output that blocks blocks the logging thread
 * alone: lines that find a ring full are left out and counted. Safe for all threads.
 *
 * @since 0.2
 */
public final class StandardOutputLog implements DecisionLog, AutoCloseable {

    private static final String THREAD_NAME = "log";

    private final LineRings mRings = new LineRings();
    private final LineCounts mCounts = new LineCounts();
    private final LogOptions mOptions;
    private final TimeSource mTimeSource;
    private final LineWriter mWriter;
    private final Thread mThread;
    private volatile boolean mAsleep;
    private volatile boolean mHurried;
    private volatile boolean mClosed;

    private StandardOutputLog(LogOptions options, TimeSource timeSource, OutputStream output) {
        mOptions = Assert.notNull(options, "Options");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mWriter = new LineWriter(mRings, mCounts, options, timeSource, output);
        mThread = new Thread(this::run, THREAD_NAME);
        mThread.setDaemon(true);
    }

    /**
     * Starts to log to the standard output of this process.
     *
     * @param options how much
     * @param timeSource the clocks
     * @return the log, to be closed last so that waiting lines are written
     */
    public static StandardOutputLog start(LogOptions options, TimeSource timeSource) {
        return start(options, timeSource, new FileOutputStream(FileDescriptor.out));
    }

    /**
     * Starts to log to a given stream.
     *
     * @param options how much
     * @param timeSource the clocks
     * @param output gets each batch with one call, and is not closed
     * @return the log, to be closed last so that waiting lines are written
     */
    public static StandardOutputLog start(
            LogOptions options, TimeSource timeSource, OutputStream output) {
        StandardOutputLog log = new StandardOutputLog(options, timeSource, output);
        log.mThread.start();
        return log;
    }

    @Override
    public void requestEnded(RequestRecord request) {
        LinePriority lineClass = request.isPlain() ? LinePriority.PLAIN : LinePriority.NOTEWORTHY;
        offer(lineClass, new RequestLine(request));
    }

    @Override
    public void requestRetried(RequestRecord request) {
        offer(LinePriority.NOTEWORTHY, new RetryLine(request));
    }

    @Override
    public void viewChanged(ViewChange change) {
        offer(LinePriority.NOTEWORTHY, change);
    }

    @Override
    public void processChanged(ProcessChange change) {
        offer(LinePriority.NOTEWORTHY, change);
    }

    /**
     * Takes another budget, from the next batch on.
     *
     * @param linesPerSecond the greatest number of lines a second, over more than a second
     */
    public void limit(int linesPerSecond) {
        Assert.positive(linesPerSecond, "A number of lines per second");
        mWriter.budget().setLinesPerSecond(linesPerSecond);
    }

    /**
     * Gives the counts of lines.
     *
     * @return the counts, which go on changing
     */
    public LineCounts counts() {
        return mCounts;
    }

    /**
     * Writes the lines that wait and ends the logging thread; gives up when the output does not
     * take them in time. Later lines are left out.
     */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        try {
            mThread.join(mOptions.longestFlush().toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a line to its ring, at the wall time of now. */
    void offer(LinePriority lineClass, LineContent content) {
        TimedLine line = new TimedLine(mTimeSource.instant().toEpochMilli(), content);
        if (mClosed || !mRings.offer(lineClass, line)) {
            mCounts.dropped(lineClass, 1);
            return;
        }
        if (mAsleep) {
            mAsleep = false;
            LockSupport.unpark(mThread);
        } else if (!mHurried && mRings.isHalfFull(lineClass)) {
            mHurried = true;
            LockSupport.unpark(mThread);
        }
    }

    private void run() {
        while (!mClosed) {
            boolean wrote = mWriter.writeBatch();
            mHurried = mRings.isAnyHalfFull();
            if (!wrote && mRings.isEmpty()) {
                sleepUntilLine();
            }
            if (!mClosed) {
                LockSupport.parkNanos(this, mOptions.batchInterval().toNanos());
            }
        }
        mWriter.writeRest();
    }

    /** Sleeps until there is a line, without a timer unless something is to be told later. */
    private void sleepUntilLine() {
        mAsleep = true;
        if (!mClosed && mRings.isEmpty()) {
            if (mWriter.hasUnreportedDrops()) {
                LockSupport.parkNanos(this, LineWriter.DROP_SUMMARY_INTERVAL.toNanos());
            } else {
                LockSupport.park(this);
            }
        }
        mAsleep = false;
    }
}
