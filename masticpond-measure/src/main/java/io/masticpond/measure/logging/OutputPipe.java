package io.masticpond.measure.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.Pipe;

/**
 * Pipe of the operating system in place of standard output, which is either read to its end or
 * never read.
 */
final class OutputPipe implements AutoCloseable {

    private static final int READ_BYTES = 64 * 1024;

    private final Pipe mPipe;
    private final OutputStream mOutput;

    OutputPipe(boolean read) {
        try {
            mPipe = Pipe.open();
        } catch (IOException e) {
            throw new UncheckedIOException("Failed to open a pipe.", e);
        }
        mOutput = Channels.newOutputStream(mPipe.sink());
        if (read) {
            Thread reader = new Thread(this::readAll, "reader");
            reader.setDaemon(true);
            reader.start();
        }
    }

    OutputStream output() {
        return mOutput;
    }

    @Override
    public void close() {
        try {
            mPipe.source().close();
            mPipe.sink().close();
        } catch (IOException e) {
            throw new UncheckedIOException("Failed to close the pipe.", e);
        }
    }

    private void readAll() {
        ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
        try {
            while (mPipe.source().read(bytes) >= 0) {
                bytes.clear();
            }
        } catch (IOException e) {
            // The pipe was closed at the end of the run.
            return;
        }
    }
}
