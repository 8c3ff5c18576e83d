package io.masticpond.entry.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Output stream that parses the written lines and counts the calls. */
final class LogLines extends ByteArrayOutputStream {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private int mCalls;
    private int mLongestCall;
    private boolean mHasIncompleteLines;

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
        mCalls++;
        mLongestCall = Math.max(mLongestCall, length);
        mHasIncompleteLines |= bytes[from + length - 1] != '\n';
        super.write(bytes, from, length);
        notifyAll();
    }

    synchronized int calls() {
        return mCalls;
    }

    synchronized int longestCall() {
        return mLongestCall;
    }

    /** Determines whether any call ended in the middle of a line. */
    synchronized boolean hasIncompleteLines() {
        return mHasIncompleteLines;
    }

    /** Waits until the first write. */
    synchronized void awaitWrite() throws InterruptedException {
        while (mCalls == 0) {
            wait();
        }
    }

    synchronized String text() {
        return toString(StandardCharsets.UTF_8);
    }

    /** Parses each line on its own. */
    List<JsonNode> lines() {
        return text().lines().map(LogLines::parse).toList();
    }

    long count(String event) {
        return lines().stream().filter(line -> line.path("event").asText().equals(event)).count();
    }

    private static JsonNode parse(String line) {
        try {
            return MAPPER.readTree(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
