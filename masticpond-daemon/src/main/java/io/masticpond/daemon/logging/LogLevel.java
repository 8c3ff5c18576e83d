package io.masticpond.daemon.logging;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Log level, from the fewest to the most lines.
 *
 * @since 0.1
 */
public enum LogLevel {
    /** Faults of the system itself. */
    ERROR,
    /** Conditions that an operator should investigate. */
    WARN,
    /** Changes of state. */
    INFO,
    /** Decisions, for diagnosing a fault. */
    DEBUG,
    /** Every step, for diagnosing a fault on an instance with little load. */
    TRACE;

    /**
     * Parses the text form.
     *
     * @param text the name in lower case
     * @return the level
     * @throws IllegalArgumentException if no level has that name
     */
    @JsonCreator
    public static LogLevel parse(String text) {
        for (LogLevel level : values()) {
            if (level.text().equals(text)) {
                return level;
            }
        }
        throw new IllegalArgumentException(
                "A log level must be error, warn, info, debug or trace, but was '" + text + "'.");
    }

    /**
     * Returns the text form.
     *
     * @return the name in lower case
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the corresponding Logback level. */
    Level toLogback() {
        return Level.toLevel(name());
    }
}
