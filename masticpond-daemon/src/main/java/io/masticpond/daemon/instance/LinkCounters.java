package io.masticpond.daemon.instance;

import java.util.concurrent.atomic.LongAdder;

/** Thread-safe counters from which {@link LinkStatistics} are taken. */
final class LinkCounters {

    final LongAdder mConnections = new LongAdder();
    final LongAdder mCalls = new LongAdder();
    final LongAdder mAnswersNotAwaited = new LongAdder();
    final LongAdder mAnswersDropped = new LongAdder();
    final LongAdder mHandshakesRefused = new LongAdder();
    final LongAdder mProtocolErrors = new LongAdder();
    private final LongAdder mBytesRead = new LongAdder();
    private final LongAdder mBytesWritten = new LongAdder();
    private final LongAdder mControlBytesRead = new LongAdder();
    private final LongAdder mControlBytesWritten = new LongAdder();

    /** Records bytes read on a lane. */
    void read(Lane lane, int bytes) {
        mBytesRead.add(bytes);
        if (lane == Lane.CONTROL) {
            mControlBytesRead.add(bytes);
        }
    }

    /** Records bytes written on a lane. */
    void written(Lane lane, int bytes) {
        mBytesWritten.add(bytes);
        if (lane == Lane.CONTROL) {
            mControlBytesWritten.add(bytes);
        }
    }

    /** Returns a snapshot of the counters. */
    LinkStatistics snapshot() {
        return new LinkStatistics(
                mConnections.sum(),
                mCalls.sum(),
                mAnswersNotAwaited.sum(),
                mAnswersDropped.sum(),
                mHandshakesRefused.sum(),
                mProtocolErrors.sum(),
                mBytesRead.sum(),
                mBytesWritten.sum(),
                mControlBytesRead.sum(),
                mControlBytesWritten.sum());
    }
}
