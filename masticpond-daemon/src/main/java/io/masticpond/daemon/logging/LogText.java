package io.masticpond.daemon.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import io.masticpond.core.timeline.TimelinePart;
import java.util.regex.Pattern;

/**
 * Utility methods for splitting the messages of log events into part and sentence, and for
 * redacting secrets.
 */
final class LogText {

    /** The part of lines that libraries log. */
    static final String LIBRARY_PART = "LIBRARY";

    /** The replacement of a secret. */
    static final String MASK = "***";

    /**
     * Pattern of the value of a bearer token, or of a field whose name is or ends in token, secret,
     * password or shared-key.
     */
    static final Pattern SECRET =
            Pattern.compile(
                    "(?i)(?<=bearer\\s)\\s*[^\\s\"',;]+"
                            + "|(?<=(token|secret|password|shared-key)[\"']?[=:]\\s?)"
                            + "[\"']?[^\\s\"',;]+[\"']?");

    private static final String SEPARATOR = "  ";

    private LogText() {}

    /** Returns the part of the system that logged an event, which is the prefix of its message. */
    static String partOf(ILoggingEvent event) {
        String message = event.getFormattedMessage();
        for (TimelinePart part : TimelinePart.values()) {
            if (message.startsWith(part.name() + SEPARATOR)) {
                return part.name();
            }
        }
        return LIBRARY_PART;
    }

    /** Returns the message without the prefix of its part, with line breaks escaped. */
    static String sentenceOf(ILoggingEvent event) {
        String message = event.getFormattedMessage();
        String prefix = partOf(event) + SEPARATOR;
        String sentence = message.startsWith(prefix) ? message.substring(prefix.length()) : message;
        return sentence.replace("\r", "\\r").replace("\n", "\\n");
    }

    /** Replaces all secrets in a text with {@link #MASK}. */
    static String redact(String text) {
        return SECRET.matcher(text).replaceAll(MASK);
    }
}
