package io.masticpond.entry.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import io.masticpond.core.support.Assert;
import org.slf4j.LoggerFactory;

/**
 * Lets Logback write through a {@link StandardOutputLog}: set up in code, without a file to read, a
 * thread or a queue of its own. Libraries log from WARN on. Safe for all threads.
 *
 * @since 0.2
 */
public final class LogbackBridge {

    /** The logger above all of the system's own. */
    public static final String OWN_LOGGER = "io.masticpond";

    private LogbackBridge() {}

    /**
     * Sends all that is logged through SLF4J to a log from now on.
     *
     * @param log the log
     * @param debug whether the system's own parts log their decisions too
     */
    public static void install(StandardOutputLog log, boolean debug) {
        install((LoggerContext) LoggerFactory.getILoggerFactory(), log, debug);
    }

    /**
     * Sets up a given context.
     *
     * @param context the context, which is reset first
     * @param log the log
     * @param debug whether the system's own parts log their decisions too
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

    /** Turns an event of Logback into a line; the ring needs no lock around it. */
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
