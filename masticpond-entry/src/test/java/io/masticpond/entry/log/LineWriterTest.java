package io.masticpond.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.Example;

/** Tests for the line budget and the order of priorities of {@link LineWriter}. */
final class LineWriterTest {

    private static final int LINES_PER_SECOND = 200;
    private static final LogOptions OPTIONS =
            new LogOptions(LINES_PER_SECOND, Duration.ofMillis(200), Duration.ofSeconds(1));

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final LineRings mRings = new LineRings();
    private final LineCounts mCounts = new LineCounts();
    private final LogLines mOutput = new LogLines();
    private final LineWriter mWriter = new LineWriter(mRings, mCounts, OPTIONS, mTime, mOutput);

    @Example
    void writesFailuresBeforeEarlierPlainRequests() {
        offer(LinePriority.PLAIN, 600);
        offer(LinePriority.NOTEWORTHY, 150);
        mWriter.writeBatch();
        assertThat(mOutput.lines())
                .hasSize(150)
                .allMatch(line -> line.path("outcome").asText().equals("refused"));
        assertThat(mCounts.dropped(LinePriority.PLAIN)).isEqualTo(600);
        assertThat(mCounts.dropped(LinePriority.NOTEWORTHY)).isZero();
    }

    @Example
    void queuesFailuresAboveBudgetAndWritesNoPlainRequestMeanwhile() {
        offer(LinePriority.NOTEWORTHY, 500);
        for (int step = 0; step < 10; step++) {
            offer(LinePriority.PLAIN, 10);
            mWriter.writeBatch();
            mTime.advance(OPTIONS.batchInterval());
        }
        assertThat(refused()).isEqualTo(500);
        assertThat(mCounts.dropped(LinePriority.NOTEWORTHY)).isZero();
        assertThat(mOutput.lines().subList(0, 500))
                .allMatch(line -> line.path("outcome").asText().equals("refused"));
    }

    @Example
    void staysWithinBudgetUnderOverloadOfAllPriorities() {
        int seconds = 12;
        for (int step = 0; step < 5 * seconds; step++) {
            for (LinePriority priority : LinePriority.values()) {
                offer(priority, 400);
            }
            mWriter.writeBatch();
            mTime.advance(OPTIONS.batchInterval());
        }
        int reported = (int) mOutput.count("left-out");
        assertThat(mOutput.lines().size() - reported)
                .isGreaterThan((seconds - 1) * LINES_PER_SECOND)
                .isLessThanOrEqualTo((seconds + 1) * LINES_PER_SECOND);
        assertThat(reported).isEqualTo(1);
    }

    @Example
    void samplesPlainRequestsEvenly() {
        for (int index = 0; index < 1_000; index++) {
            RequestRecord request = new RequestRecord("r" + index, 0);
            request.answered(200, 0);
            offer(LinePriority.PLAIN, request);
        }
        mWriter.writeBatch();
        assertThat(mOutput.lines()).hasSize(100);
        assertThat(mOutput.lines().stream().map(line -> line.path("id").asText()))
                .contains("r9", "r499", "r999");
    }

    @Example
    void writesBatchWithOneCall() {
        offer(LinePriority.NOTEWORTHY, 30);
        assertThat(mWriter.writeBatch()).isTrue();
        assertThat(mWriter.writeBatch()).isFalse();
        assertThat(mOutput.calls()).isEqualTo(1);
    }

    @Example
    void writesLongBatchInPiecesOfCompleteLines() {
        offer(LinePriority.NOTEWORTHY, 180);
        assertThat(mWriter.writeBatch()).isTrue();
        assertThat(mOutput.lines()).hasSize(180);
        assertThat(mOutput.calls()).isBetween(2, 10);
        assertThat(mOutput.longestCall()).isLessThanOrEqualTo(LineBatch.WRITE_BYTES);
        assertThat(mOutput.hasIncompleteLines()).isFalse();
        assertThat(mCounts.written()).isEqualTo(180);
        assertThat(mWriter.writeBatch()).isFalse();
    }

    @Example
    void reportsDroppedLinesOnceEveryTenSeconds() {
        offer(LinePriority.PLAIN, 500);
        mWriter.writeBatch();
        assertThat(mOutput.count("left-out")).isZero();
        assertThat(mWriter.hasUnreportedDrops()).isTrue();
        mTime.advance(LineWriter.DROP_SUMMARY_INTERVAL);
        mWriter.writeBatch();
        mTime.advance(LineWriter.DROP_SUMMARY_INTERVAL);
        mWriter.writeBatch();
        assertThat(mOutput.count("left-out")).isEqualTo(1);
        JsonNode reported = mOutput.lines().get(mOutput.lines().size() - 1);
        assertThat(reported.path("plain").asInt()).isEqualTo(400);
        assertThat(reported.path("noteworthy").asInt(1)).isZero();
        assertThat(mWriter.hasUnreportedDrops()).isFalse();
    }

    @Example
    void writesRemainingLinesRegardlessOfBudget() {
        offer(LinePriority.NOTEWORTHY, 1_000);
        offer(LinePriority.PLAIN, 1_000);
        mWriter.writeRest();
        assertThat(mOutput.lines()).hasSize(2_000);
        assertThat(mCounts.written()).isEqualTo(2_000);
    }

    private long refused() {
        return mOutput.lines().stream()
                .filter(line -> line.path("outcome").asText().equals("refused"))
                .count();
    }

    private void offer(LinePriority priority, int count) {
        for (int index = 0; index < count; index++) {
            RequestRecord request = new RequestRecord("r" + index, 0);
            if (priority == LinePriority.NOTEWORTHY) {
                request.refused("no-room", 503, 500, 0);
            } else {
                request.answered(200, 0);
            }
            offer(priority, request);
        }
    }

    private void offer(LinePriority priority, RequestRecord request) {
        boolean added = mRings.offer(priority, new TimedLine(0, new RequestLine(request)));
        if (!added) {
            mCounts.dropped(priority, 1);
        }
    }
}
