package io.masticpond.daemon.logging;

import io.masticpond.core.support.Assert;

/**
 * Settings for logging.
 *
 * @param format the format of log lines
 * @param level the level of the loggers of the system
 * @since 0.1
 */
public record LoggingSettings(LogFormat format, LogLevel level) {

    /** The default settings: text format and level INFO. */
    public static final LoggingSettings DEFAULT =
            new LoggingSettings(LogFormat.TEXT, LogLevel.INFO);

    /** Validates that both are set. */
    public LoggingSettings {
        Assert.notNull(format, "A log format");
        Assert.notNull(level, "A log level");
    }
}
