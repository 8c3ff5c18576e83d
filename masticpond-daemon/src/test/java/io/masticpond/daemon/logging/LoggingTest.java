package io.masticpond.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;

class LoggingTest {

    private static final String STEERING_LOGGER = "io.masticpond.daemon.steering.Steering";

    private final LoggerContext mContext = new LoggerContext();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    @Example
    void textLineContainsPartAndSentence() {
        String text = log(LogFormat.TEXT, "STEER  Region {} closed.", "bunbury");
        assertThat(text).contains(" INFO  STEER     Region bunbury closed. [");
    }

    @Example
    void jsonLineContainsPartAsField() throws Exception {
        String text = log(LogFormat.JSON, "STEER  Region {} closed.", "bunbury");
        JsonNode line = new ObjectMapper().readTree(text);
        assertThat(line.path("part").asText()).isEqualTo("STEER");
        assertThat(line.path("message").asText()).isEqualTo("Region bunbury closed.");
        assertThat(line.path("level").asText()).isEqualTo("INFO");
    }

    @Example
    void secretsAreRedactedInBothFormats() {
        for (LogFormat format : LogFormat.values()) {
            mOutput.reset();
            String text =
                    log(
                            format,
                            "OPERATOR  Got {}.",
                            "Authorization: Bearer s3cr3t-1, token=s3cr3t-2, secret: s3cr3t-3");
            assertThat(text).contains("***").doesNotContain("s3cr3t");
        }
    }

    @Example
    void lineBreakInValueDoesNotAddLine() {
        String text = log(LogFormat.TEXT, "CALLER  Path {}.", "/a\r\nSTEER  Forged.");
        assertThat(text.lines()).hasSize(1);
    }

    @Example
    void libraryLinesAreMarkedAndLoggedFromWarn() {
        try (Logging logging = Logging.start(mContext, LoggingSettings.DEFAULT, mOutput)) {
            mContext.getLogger("org.eclipse.jetty").info("Started.");
            mContext.getLogger("org.eclipse.jetty").warn("Slow.");
            assertThat(logging.levels()).containsEntry("ROOT", "WARN");
        }
        assertThat(text()).contains("LIBRARY   Slow.").doesNotContain("Started");
    }

    @Example
    void levelCanBeChangedAtRunTime() {
        Logger logger = mContext.getLogger(STEERING_LOGGER);
        try (Logging logging = Logging.start(mContext, LoggingSettings.DEFAULT, mOutput)) {
            logger.debug("STEER  Before.");
            assertThat(logging.setLevel(Logging.OWN_LOGGER, LogLevel.DEBUG)).isTrue();
            logger.debug("STEER  After.");
            assertThat(logging.setLevel("io.masticpond.none", LogLevel.DEBUG)).isFalse();
        }
        assertThat(text()).contains("After.").doesNotContain("Before.");
    }

    @Example
    void blockedStreamDoesNotBlockLoggingThread() {
        CountDownLatch release = new CountDownLatch(1);
        OutputStream blocked =
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        try {
                            release.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                };
        Logging logging = Logging.start(mContext, LoggingSettings.DEFAULT, blocked);
        for (int line = 0; line < 20_000; line++) {
            mContext.getLogger(STEERING_LOGGER).info("STEER  Line {}.", line);
        }
        release.countDown();
        logging.close();
    }

    private String log(LogFormat format, String message, Object value) {
        try (Logging logging =
                Logging.start(mContext, new LoggingSettings(format, LogLevel.INFO), mOutput)) {
            assertThat(logging.levels()).containsKey(Logging.OWN_LOGGER);
            mContext.getLogger(STEERING_LOGGER).info(message, value);
        }
        return text();
    }

    private String text() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }
}
