package io.masticpond.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.time.SystemTimeSource;
import java.io.OutputStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;
import org.slf4j.Logger;

/** Tests for the rings, the logging thread and the close of {@link StandardOutputLog}. */
final class StandardOutputLogTest {

    private static final LogOptions OPTIONS =
            new LogOptions(200, Duration.ofMillis(20), Duration.ofSeconds(60));

    /** Options for an output that accepts nothing. */
    private static final LogOptions SHORT_FLUSH =
            new LogOptions(200, Duration.ofMillis(20), Duration.ofMillis(300));

    private final LogLines mOutput = new LogLines();

    @Example
    void countsDroppedLinesWithoutBlockingCallersWhenOutputBlocks() {
        BlockedOutput blocked = new BlockedOutput();
        StandardOutputLog log =
                StandardOutputLog.start(SHORT_FLUSH, new SystemTimeSource(), blocked);
        int offered = 3 * LinePriority.NOTEWORTHY.capacity();
        for (int index = 0; index < offered; index++) {
            log.requestEnded(refused());
        }
        long dropped = log.counts().dropped(LinePriority.NOTEWORTHY);
        assertThat(dropped).isGreaterThan(0).isLessThan(offered);
        assertThat(log.counts().written()).isZero();
        log.close();
        blocked.release();
        log.requestEnded(refused());
        assertThat(log.counts().dropped(LinePriority.NOTEWORTHY)).isEqualTo(dropped + 1);
    }

    @Example
    void closeWritesQueuedLines() {
        StandardOutputLog log = StandardOutputLog.start(OPTIONS, new SystemTimeSource(), mOutput);
        for (int index = 0; index < 900; index++) {
            log.requestEnded(refused());
        }
        log.close();
        assertThat(mOutput.count("request")).isEqualTo(900);
        assertThat(log.counts().written()).isEqualTo(900);
    }

    @Example
    void newLineWakesSleepingThread() throws InterruptedException {
        try (StandardOutputLog log =
                StandardOutputLog.start(OPTIONS, new SystemTimeSource(), mOutput)) {
            log.requestEnded(refused());
            mOutput.awaitWrite();
            assertThat(mOutput.count("request")).isEqualTo(1);
        }
    }

    @Example
    void writesLibraryLinesToSameLogWithoutSecrets() {
        LoggerContext context = new LoggerContext();
        try (StandardOutputLog log =
                StandardOutputLog.start(OPTIONS, new SystemTimeSource(), mOutput)) {
            LogbackBridge.install(context, log, false);
            Logger library = context.getLogger("org.example.Library");
            Logger own = context.getLogger("io.masticpond.entry.Part");
            library.info("Not of interest.");
            library.warn("Sent token=abc123 to\n{}.", "x\u0007", new IllegalStateException("Off."));
            own.info("STORE  Lists again.");
            own.debug("STORE  Too much.");
        }
        assertThat(mOutput.lines()).hasSize(2);
        JsonNode line = mOutput.lines().get(0);
        assertThat(line.path("message").asText()).isEqualTo("Sent token=*** to\nx\u0007.");
        assertThat(line.path("level").asText()).isEqualTo("WARN");
        assertThat(line.path("fault").asText()).isEqualTo("java.lang.IllegalStateException");
        assertThat(line.path("frames")).isNotEmpty();
        assertThat(mOutput.lines().get(1).path("message").asText())
                .isEqualTo("STORE  Lists again.");
    }

    private static RequestRecord refused() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.refused("no-room", 503, 500, 0);
        return request;
    }

    /** Output whose reader has stopped. */
    private static final class BlockedOutput extends OutputStream {

        private final CountDownLatch mReader = new CountDownLatch(1);

        @Override
        public void write(int value) {
            try {
                mReader.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void release() {
            mReader.countDown();
        }
    }
}
