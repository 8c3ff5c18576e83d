package io.masticpond.entry.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * {@link DecisionLog} that retains the newest decisions in memory, with the contents of their log
 * lines, and forwards all of them to another log.
 *
 * <p>Plain requests have a ring buffer of their own, so that they evict no refusal, failure or
 * retry; view changes have one too. Retaining a decision takes two writes to memory and never
 * blocks. Thread-safe.
 *
 * @since 0.2
 */
public final class RecentDecisions implements DecisionLog {

    /** The maximum number of retained view changes, including starts and stops. */
    public static final int MAXIMUM_VIEW_CHANGES = 512;

    private static final int MAXIMUM_REQUESTS = 2_048;

    private final DecisionLog mNext;
    private final TimeSource mTimeSource;
    private final LineRingBuffer mPlain = new LineRingBuffer(MAXIMUM_REQUESTS);
    private final LineRingBuffer mNoteworthy = new LineRingBuffer(MAXIMUM_REQUESTS);
    private final LineRingBuffer mViewChanges = new LineRingBuffer(MAXIMUM_VIEW_CHANGES);

    /**
     * Creates a log that has retained no decisions.
     *
     * @param next the log to which all decisions are forwarded
     * @param timeSource the source of the wall time
     */
    public RecentDecisions(DecisionLog next, TimeSource timeSource) {
        mNext = Assert.notNull(next, "A log");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public void requestEnded(RequestRecord request) {
        add(request.isPlain() ? mPlain : mNoteworthy, new RequestLine(request));
        mNext.requestEnded(request);
    }

    @Override
    public void requestRetried(RequestRecord request) {
        add(mNoteworthy, new RetryLine(request));
        mNext.requestRetried(request);
    }

    @Override
    public void viewChanged(ViewChange change) {
        add(mViewChanges, change);
        mNext.viewChanged(change);
    }

    @Override
    public void processChanged(ProcessChange change) {
        add(mViewChanges, change);
        mNext.processChanged(change);
    }

    /**
     * Returns the retained lines of a request.
     *
     * @param requestId the id as given by the client
     * @return the lines as written to the log, oldest first
     */
    public List<JsonNode> requestLines(String requestId) {
        Predicate<LineContent> matches = content -> requestId.equals(requestId(content));
        return Stream.concat(mPlain.lines().stream(), mNoteworthy.lines().stream())
                .filter(line -> matches.test(line.content()))
                .sorted(Comparator.comparingLong(TimedLine::wallMillis))
                .map(RecentDecisions::document)
                .toList();
    }

    /**
     * Returns the newest view changes, including starts and stops of the process.
     *
     * @param maximum the maximum number of changes
     * @return the lines as written to the log, oldest first
     */
    public List<JsonNode> recentViewChanges(int maximum) {
        List<TimedLine> lines = mViewChanges.lines();
        return lines.subList(Math.max(0, lines.size() - maximum), lines.size()).stream()
                .map(RecentDecisions::document)
                .toList();
    }

    /**
     * Returns the number of request lines that newer ones have evicted.
     *
     * @return the count since the start
     */
    public long evicted() {
        return mPlain.evicted() + mNoteworthy.evicted();
    }

    private void add(LineRingBuffer buffer, LineContent content) {
        buffer.add(new TimedLine(mTimeSource.instant().toEpochMilli(), content));
    }

    private static String requestId(LineContent content) {
        if (content instanceof RequestLine line) {
            return line.request().mRequestId;
        }
        return content instanceof RetryLine line ? line.requestId() : null;
    }

    private static JsonNode document(TimedLine line) {
        try (TokenBuffer buffer = new TokenBuffer(Mapping.MAPPER, false)) {
            buffer.writeStartObject();
            buffer.writeStringField("at", new String(new WallTimeText().of(line.wallMillis())));
            buffer.writeStringField("event", line.content().event());
            line.content().write(buffer);
            buffer.writeEndObject();
            return Mapping.MAPPER.readTree(buffer.asParser());
        } catch (IOException e) {
            throw new UncheckedIOException("A retained line cannot be converted to JSON.", e);
        }
    }

    /** Holder that creates the mapper on the first query, as startup must not wait for it. */
    private static final class Mapping {

        private static final ObjectMapper MAPPER = new ObjectMapper();
    }

    /** Ring buffer that retains the newest lines. */
    private static final class LineRingBuffer {

        private final AtomicReferenceArray<TimedLine> mLines;
        private final AtomicLong mNext = new AtomicLong();

        LineRingBuffer(int capacity) {
            mLines = new AtomicReferenceArray<>(capacity);
        }

        void add(TimedLine line) {
            int slot = (int) (mNext.getAndIncrement() % mLines.length());
            mLines.setRelease(slot, line);
        }

        /** Returns the lines, oldest first; may include lines added during the call. */
        List<TimedLine> lines() {
            long next = mNext.get();
            List<TimedLine> lines = new ArrayList<>();
            for (long number = Math.max(0, next - mLines.length()); number < next; number++) {
                TimedLine line = mLines.getAcquire((int) (number % mLines.length()));
                if (line != null) {
                    lines.add(line);
                }
            }
            return lines;
        }

        long evicted() {
            return Math.max(0, mNext.get() - mLines.length());
        }
    }
}
