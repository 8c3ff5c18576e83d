package io.masticpond.daemon.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.masticpond.core.support.Assert;
import java.io.OutputStream;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.LoggerFactory;

/**
 * Logback set-up according to the settings, with all lines written to one stream by a separate
 * thread.
 *
 * <p>A blocked stream never blocks a thread that logs: when {@value #QUEUE_CAPACITY} lines are
 * queued, further lines are dropped. Lines of libraries are logged at WARN and above. Thread-safe.
 *
 * @since 0.1
 */
public final class Logging implements AutoCloseable {

    /** The name of the parent logger of all loggers of the system. */
    public static final String OWN_LOGGER = "io.masticpond";

    private static final int QUEUE_CAPACITY = 2_048;
    private static final int MAXIMUM_FLUSH_MILLIS = 2_000;

    private final LoggerContext mContext;
    private final AsyncAppender mQueue;

    private Logging(LoggerContext context, AsyncAppender queue) {
        mContext = context;
        mQueue = queue;
    }

    /**
     * Sets up Logback for this process. Call this method first in main.
     *
     * @param settings the logging settings
     * @param stream the stream to which lines are written
     * @return the set-up, to be closed last so that queued lines are written
     */
    public static Logging start(LoggingSettings settings, OutputStream stream) {
        return start((LoggerContext) LoggerFactory.getILoggerFactory(), settings, stream);
    }

    /**
     * Sets up the given context.
     *
     * @param context the context, which is reset first
     * @param settings the logging settings
     * @param stream the stream to which lines are written
     * @return the set-up, to be closed last so that queued lines are written
     */
    public static Logging start(
            LoggerContext context, LoggingSettings settings, OutputStream stream) {
        Assert.notNull(settings, "Logging settings");
        context.reset();
        if (context.getMDCAdapter() == null) {
            context.setMDCAdapter(new LogbackMDCAdapter());
        }
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setName("queue");
        queue.setQueueSize(QUEUE_CAPACITY);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(MAXIMUM_FLUSH_MILLIS);
        queue.addAppender(newOutputAppender(context, settings.format(), stream));
        queue.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(LogLevel.WARN.toLogback());
        root.addAppender(queue);
        context.getLogger(OWN_LOGGER).setLevel(settings.level().toLogback());
        return new Logging(context, queue);
    }

    /**
     * Sets the level of a logger, which also applies to its descendants without a level of their
     * own.
     *
     * @param logger the name of an existing logger
     * @param level the level
     * @return whether the logger exists; if not, nothing is changed
     */
    public boolean setLevel(String logger, LogLevel level) {
        Logger found = mContext.exists(logger);
        if (found == null) {
            return false;
        }
        found.setLevel(level.toLogback());
        return true;
    }

    /**
     * Returns the levels that are set explicitly.
     *
     * @return the levels by logger name
     */
    public Map<String, String> levels() {
        Map<String, String> levels = new TreeMap<>();
        for (Logger logger : mContext.getLoggerList()) {
            if (logger.getLevel() != null) {
                levels.put(logger.getName(), logger.getLevel().toString());
            }
        }
        return levels;
    }

    /** Writes the queued lines, within 2 seconds at most, and stops logging. */
    @Override
    public void close() {
        mQueue.stop();
        mContext.stop();
    }

    private static OutputStreamAppender<ILoggingEvent> newOutputAppender(
            LoggerContext context, LogFormat format, OutputStream stream) {
        Encoder<ILoggingEvent> encoder = format.encoder(context);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> output = new OutputStreamAppender<>();
        output.setContext(context);
        output.setName("output");
        output.setEncoder(encoder);
        output.setOutputStream(stream);
        output.start();
        return output;
    }
}
