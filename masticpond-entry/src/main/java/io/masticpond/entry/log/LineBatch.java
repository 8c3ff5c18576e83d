package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/**
 * Batch of lines, encoded into one reused buffer. A batch is written with one call, or with one
 * call per {@value #WRITE_BYTES} bytes if it is longer, because the stream allocates memory to copy
 * a longer piece and not every pipe accepts one at once. Each piece ends at the end of a line. All
 * non-ASCII characters are escaped, so that no value can break a line or reach a terminal as a
 * control character. To be used by the logging thread only, except for the counts.
 */
final class LineBatch {

    /** The maximum number of bytes written with one call, unless a single line is longer. */
    static final int WRITE_BYTES = 8 * 1024;

    private static final int FIRST_CAPACITY = 2 * WRITE_BYTES;

    private final OutputStream mOutput;
    private final LineCounts mCounts;
    private final JsonFactory mFactory =
            new JsonFactoryBuilder()
                    .rootValueSeparator((String) null)
                    .enable(JsonWriteFeature.ESCAPE_NON_ASCII)
                    .build();
    private final LineBuffer mBytes = new LineBuffer();
    private final WallTimeText mTime = new WallTimeText();
    private JsonGenerator mLine = createGenerator();
    private int mLines;
    private boolean mWroteSinceLastCall;

    LineBatch(OutputStream output, LineCounts counts) {
        mOutput = output;
        mCounts = counts;
    }

    /** Adds a line; a line that cannot be encoded is omitted as a whole and counted as lost. */
    void add(long wallMillis, LineContent content) {
        int begin = mBytes.size();
        try {
            encode(wallMillis, content);
        } catch (IOException | RuntimeException e) {
            mBytes.truncate(begin);
            mLine = createGenerator();
            mCounts.lost(1);
            return;
        }
        if (mBytes.size() > WRITE_BYTES) {
            write(begin);
        }
        mLines++;
    }

    /** Writes the added lines, and returns whether any were written since the last call. */
    boolean write() {
        write(mBytes.size());
        boolean any = mWroteSinceLastCall;
        mWroteSinceLastCall = false;
        return any;
    }

    /** Writes the first bytes, which are complete lines; lines the output rejects are lost. */
    private void write(int length) {
        if (length == 0) {
            return;
        }
        try {
            mBytes.writeFirst(mOutput, length);
            mOutput.flush();
            mCounts.written(mLines);
        } catch (IOException e) {
            mCounts.lost(mLines);
        }
        mBytes.dropFirst(length);
        mLines = 0;
        mWroteSinceLastCall = true;
    }

    private void encode(long wallMillis, LineContent content) throws IOException {
        mLine.writeStartObject();
        mLine.writeFieldName("at");
        char[] time = mTime.of(wallMillis);
        mLine.writeString(time, 0, time.length);
        mLine.writeStringField("event", content.event());
        content.write(mLine);
        mLine.writeEndObject();
        mLine.writeRaw('\n');
        mLine.flush();
    }

    private JsonGenerator createGenerator() {
        try {
            return mFactory.createGenerator(mBytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Buffer of complete lines; an incomplete line at the end can be truncated. */
    private static final class LineBuffer extends ByteArrayOutputStream {

        LineBuffer() {
            super(FIRST_CAPACITY);
        }

        void truncate(int size) {
            count = size;
        }

        void writeFirst(OutputStream output, int length) throws IOException {
            output.write(buf, 0, length);
        }

        void dropFirst(int length) {
            System.arraycopy(buf, length, buf, 0, count - length);
            count -= length;
        }
    }
}
