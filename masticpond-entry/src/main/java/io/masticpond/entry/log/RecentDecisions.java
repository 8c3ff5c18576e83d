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
 * Keeps the newest decisions in memory, in the words of their log lines, and passes all on.
 *
 * <p>Plain requests have a ring of their own, so that they push out no refusal, failure or retry;
 * so have changes of what the instance believes. Keeping one is two writes to memory and never
 * blocks. Safe for all threads.
 *
 * @since 0.2
 */
public final class RecentDecisions implements DecisionLog {

    /** How many changes of belief, with starts and stops, are kept. */
    public static final int MAXIMUM_VIEW_CHANGES = 512;

    private static final int KEPT_REQUESTS = 2_048;

    private final DecisionLog mNext;
    private final TimeSource mTimeSource;
    private final LineRingBuffer mPlain = new LineRingBuffer(KEPT_REQUESTS);
    private final LineRingBuffer mNoteworthy = new LineRingBuffer(KEPT_REQUESTS);
    private final LineRingBuffer mViewChanges = new LineRingBuffer(MAXIMUM_VIEW_CHANGES);

    /**
     * Starts with nothing kept.
     *
     * @param next takes all decisions too
     * @param timeSource the clocks
     */
    public RecentDecisions(DecisionLog next, TimeSource timeSource) {
        mNext = Assert.notNull(next, "A log");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public void requestEnded(RequestRecord request) {
        keep(request.isPlain() ? mPlain : mNoteworthy, new RequestLine(request));
        mNext.requestEnded(request);
    }

    @Override
    public void requestRetried(RequestRecord request) {
        keep(mNoteworthy, new RetryLine(request));
        mNext.requestRetried(request);
    }

    @Override
    public void viewChanged(ViewChange change) {
        keep(mViewChanges, change);
        mNext.viewChanged(change);
    }

    @Override
    public void processChanged(ProcessChange change) {
        keep(mViewChanges, change);
        mNext.processChanged(change);
    }

    /**
     * Gives what is kept of a request.
     *
     * @param requestId the id as the client gave it
     * @return its lines as in the log, oldest first
     */
    public List<JsonNode> ofRequest(String requestId) {
        Predicate<LineContent> meant = content -> requestId.equals(requestId(content));
        return Stream.concat(mPlain.lines().stream(), mNoteworthy.lines().stream())
                .filter(line -> meant.test(line.content()))
                .sorted(Comparator.comparingLong(TimedLine::wallMillis))
                .map(RecentDecisions::document)
                .toList();
    }

    /**
     * Gives the newest changes of what the instance believes, with its starts and stops.
     *
     * @param most how many at most
     * @return their lines as in the log, oldest first
     */
    public List<JsonNode> recentViewChanges(int most) {
        List<TimedLine> lines = mViewChanges.lines();
        return lines.subList(Math.max(0, lines.size() - most), lines.size()).stream()
                .map(RecentDecisions::document)
                .toList();
    }

    /**
     * Counts the lines of requests that newer ones have pushed out.
     *
     * @return the count since the start
     */
    public long evicted() {
        return mPlain.forgotten() + mNoteworthy.forgotten();
    }

    private void keep(LineRingBuffer keeper, LineContent content) {
        keeper.keep(new TimedLine(mTimeSource.instant().toEpochMilli(), content));
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
            throw new UncheckedIOException("A line can't be told.", e);
        }
    }

    /** Made with the first question, since a start must not wait for a mapper. */
    private static final class Mapping {

        private static final ObjectMapper MAPPER = new ObjectMapper();
    }

    /** A ring that the newest lines stay in. */
    private static final class LineRingBuffer {

        private final AtomicReferenceArray<TimedLine> mLines;
        private final AtomicLong mNext = new AtomicLong();

        LineRingBuffer(int capacity) {
            mLines = new AtomicReferenceArray<>(capacity);
        }

        void keep(TimedLine line) {
            int slot = (int) (mNext.getAndIncrement() % mLines.length());
            mLines.setRelease(slot, line);
        }

        /** Gives the lines, oldest first; those written meanwhile may be among them. */
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

        long forgotten() {
            return Math.max(0, mNext.get() - mLines.length());
        }
    }
}
