package io.masticpond.entry.log;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.util.concurrent.locks.LockSupport;

/**
 * {@link DecisionLog} that passes lines through bounded rings to a thread of its own, which encodes
 * and writes them in batches.
 *
 * <p>A calling thread only adds a line to a ring. It wakes the logging thread only if that thread
 * sleeps because there are no lines, or once when a ring is half full. An output that blocks blocks
 * the logging thread only: lines for which the ring has no room are dropped and counted.
 * Thread-safe.
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
    private volatile boolean mWokenEarly;
    private volatile boolean mClosed;

    private StandardOutputLog(LogOptions options, TimeSource timeSource, OutputStream output) {
        mOptions = Assert.notNull(options, "Options");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mWriter = new LineWriter(mRings, mCounts, options, timeSource, output);
        mThread = new Thread(this::run, THREAD_NAME);
        mThread.setDaemon(true);
    }

    /**
     * Starts a log that writes to the standard output of this process.
     *
     * @param options the options of the log
     * @param timeSource the source of the wall and the monotonic time
     * @return the log, to be closed last so that the queued lines are written
     */
    public static StandardOutputLog start(LogOptions options, TimeSource timeSource) {
        return start(options, timeSource, new FileOutputStream(FileDescriptor.out));
    }

    /**
     * Starts a log that writes to a given stream.
     *
     * @param options the options of the log
     * @param timeSource the source of the wall and the monotonic time
     * @param output the stream, which receives each batch with one call, or a long batch with
     *     several, and is not closed
     * @return the log, to be closed last so that the queued lines are written
     */
    public static StandardOutputLog start(
            LogOptions options, TimeSource timeSource, OutputStream output) {
        StandardOutputLog log = new StandardOutputLog(options, timeSource, output);
        log.mThread.start();
        return log;
    }

    @Override
    public void requestEnded(RequestRecord request) {
        LinePriority priority = request.isPlain() ? LinePriority.PLAIN : LinePriority.NOTEWORTHY;
        offer(priority, new RequestLine(request));
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
     * Sets the budget of lines, effective from the next batch on.
     *
     * @param linesPerSecond the maximum number of lines per second, averaged over more than a
     *     second
     */
    public void setLinesPerSecond(int linesPerSecond) {
        Assert.positive(linesPerSecond, "A number of lines per second");
        mWriter.budget().setLinesPerSecond(linesPerSecond);
    }

    /**
     * Returns the counters of the lines.
     *
     * @return the live counters
     */
    public LineCounts counts() {
        return mCounts;
    }

    /**
     * Writes the queued lines and ends the logging thread. Stops waiting if the output does not
     * accept the lines within the maximum flush time. Later lines are dropped.
     */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
        try {
            mThread.join(mOptions.maximumFlushTime().toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a line with the current wall time to its ring. */
    void offer(LinePriority priority, LineContent content) {
        TimedLine line = new TimedLine(mTimeSource.instant().toEpochMilli(), content);
        if (mClosed || !mRings.offer(priority, line)) {
            mCounts.dropped(priority, 1);
            return;
        }
        if (mAsleep) {
            mAsleep = false;
            LockSupport.unpark(mThread);
        } else if (!mWokenEarly && mRings.isHalfFull(priority)) {
            mWokenEarly = true;
            LockSupport.unpark(mThread);
        }
    }

    private void run() {
        while (!mClosed) {
            boolean wrote = mWriter.writeBatch();
            mWokenEarly = mRings.isAnyHalfFull();
            if (!wrote && mRings.isEmpty()) {
                sleepUntilLine();
            }
            if (!mClosed) {
                LockSupport.parkNanos(this, mOptions.batchInterval().toNanos());
            }
        }
        mWriter.writeRest();
    }

    /** Sleeps until there is a line; uses a timer only if dropped lines are still unreported. */
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
