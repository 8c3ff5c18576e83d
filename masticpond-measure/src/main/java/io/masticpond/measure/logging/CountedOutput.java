package io.masticpond.measure.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Output stream that counts the calls of {@code write}, each of which would be a system call, and
 * forwards them all.
 */
final class CountedOutput extends OutputStream {

    private final OutputStream mDelegate;
    private final AtomicLong mCalls = new AtomicLong();

    CountedOutput(OutputStream delegate) {
        mDelegate = delegate;
    }

    @Override
    public void write(int value) throws IOException {
        mCalls.incrementAndGet();
        mDelegate.write(value);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        mCalls.incrementAndGet();
        mDelegate.write(bytes, offset, length);
    }

    long calls() {
        return mCalls.get();
    }
}
