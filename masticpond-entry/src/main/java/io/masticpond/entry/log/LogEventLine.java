package io.masticpond.entry.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.regex.Pattern;

/**
 * A sentence of a library or of one of the system's parts.
 *
 * @param level how bad it is
 * @param logger who says it
 * @param thread on which thread
 * @param message the sentence, with values filled in since they may change later
 * @param fault what was thrown, or null
 */
record LogEventLine(
        String level, String logger, String thread, String message, IThrowableProxy fault)
        implements LineContent {

    private static final int LONGEST_MESSAGE = 1_024;
    private static final int MOST_FRAMES = 12;
    private static final String MASK = "***";

    /** Gives the line of an event. */
    static LogEventLine of(ILoggingEvent event) {
        return new LogEventLine(
                event.getLevel().toString(),
                event.getLoggerName(),
                event.getThreadName(),
                event.getFormattedMessage(),
                event.getThrowableProxy());
    }

    @Override
    public String event() {
        return "sentence";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        line.writeStringField("level", level);
        line.writeStringField("logger", logger);
        line.writeStringField("thread", thread);
        line.writeStringField("message", clean(message));
        if (fault != null) {
            writeFault(line);
        }
    }

    private void writeFault(JsonGenerator line) throws IOException {
        line.writeStringField("fault", fault.getClassName());
        line.writeStringField("faultMessage", clean(fault.getMessage()));
        line.writeArrayFieldStart("frames");
        StackTraceElementProxy[] frames = fault.getStackTraceElementProxyArray();
        for (int index = 0; index < Math.min(frames.length, MOST_FRAMES); index++) {
            line.writeString(frames[index].getStackTraceElement().toString());
        }
        line.writeEndArray();
    }

    private static String clean(String text) {
        return Secrets.VALUE.matcher(LineText.cut(text, LONGEST_MESSAGE)).replaceAll(MASK);
    }

    /** Compiled when the first sentence is written, on the logging thread. */
    private static final class Secrets {

        /** The value of a bearer token or of a field that is called a token, secret or password. */
        static final Pattern VALUE =
                Pattern.compile(
                        "(?i)(?<=bearer\\s)\\s*[^\\s\"',;]+"
                                + "|(?<=(token|secret|password|shared-key)[\"']?[=:]\\s?)"
                                + "[\"']?[^\\s\"',;]+[\"']?");
    }
}
