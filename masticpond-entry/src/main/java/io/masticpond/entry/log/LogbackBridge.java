package io.masticpond.entry.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import io.masticpond.core.support.Assert;
import org.slf4j.LoggerFactory;

/**
 * Bridge that makes Logback write through a {@link StandardOutputLog}. It is configured in code and
 * needs no configuration file, thread or queue of its own. Libraries log at level WARN and above.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class LogbackBridge {

    /** The name of the parent of all loggers of the system's own components. */
    public static final String OWN_LOGGER = "io.masticpond";

    private LogbackBridge() {}

    /**
     * Redirects all messages logged through SLF4J to a log.
     *
     * @param log the log
     * @param debug whether the system's own components log at level DEBUG, which includes decisions
     */
    public static void install(StandardOutputLog log, boolean debug) {
        install((LoggerContext) LoggerFactory.getILoggerFactory(), log, debug);
    }

    /**
     * Configures a given context.
     *
     * @param context the context, which is reset first
     * @param log the log
     * @param debug whether the system's own components log at level DEBUG, which includes decisions
     */
    static void install(LoggerContext context, StandardOutputLog log, boolean debug) {
        context.reset();
        RingAppender appender = new RingAppender(log);
        appender.setContext(context);
        appender.setName("ring");
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        context.getLogger(OWN_LOGGER).setLevel(debug ? Level.DEBUG : Level.INFO);
    }

    /** Appender that converts Logback events into lines; the ring is safe without a lock. */
    private static final class RingAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

        private final StandardOutputLog mLog;

        RingAppender(StandardOutputLog log) {
            mLog = Assert.notNull(log, "A log");
        }

        @Override
        protected void append(ILoggingEvent event) {
            mLog.offer(LinePriority.SENTENCE, LogEventLine.of(event));
        }
    }
}
