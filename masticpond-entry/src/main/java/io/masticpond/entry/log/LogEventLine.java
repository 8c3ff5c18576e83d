package io.masticpond.entry.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.regex.Pattern;

/**
 * Line for a log message of a library or of one of the system's own components.
 *
 * @param level the level of the message
 * @param logger the name of the logger
 * @param thread the name of the thread that logged it
 * @param message the formatted message; formatted early because its arguments may change later
 * @param fault the logged exception, or null
 */
record LogEventLine(
        String level, String logger, String thread, String message, IThrowableProxy fault)
        implements LineContent {

    private static final int MAXIMUM_MESSAGE_LENGTH = 1_024;
    private static final int MAXIMUM_FRAMES = 12;
    private static final String MASK = "***";

    /** Creates the line for a Logback event. */
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
        line.writeStringField("message", redact(message));
        if (fault != null) {
            writeFault(line);
        }
    }

    private void writeFault(JsonGenerator line) throws IOException {
        line.writeStringField("fault", fault.getClassName());
        line.writeStringField("faultMessage", redact(fault.getMessage()));
        line.writeArrayFieldStart("frames");
        StackTraceElementProxy[] frames = fault.getStackTraceElementProxyArray();
        for (int index = 0; index < Math.min(frames.length, MAXIMUM_FRAMES); index++) {
            line.writeString(frames[index].getStackTraceElement().toString());
        }
        line.writeEndArray();
    }

    private static String redact(String text) {
        return Secrets.VALUE
                .matcher(LineText.truncate(text, MAXIMUM_MESSAGE_LENGTH))
                .replaceAll(MASK);
    }

    /** Holder that compiles the pattern on the logging thread when the first message is written. */
    private static final class Secrets {

        /** Matches the value of a bearer token, or of a field named token, secret or password. */
        static final Pattern VALUE =
                Pattern.compile(
                        "(?i)(?<=bearer\\s)\\s*[^\\s\"',;]+"
                                + "|(?<=(token|secret|password|shared-key)[\"']?[=:]\\s?)"
                                + "[\"']?[^\\s\"',;]+[\"']?");
    }
}
