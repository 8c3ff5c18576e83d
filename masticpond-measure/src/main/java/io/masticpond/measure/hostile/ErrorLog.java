package io.masticpond.measure.hostile;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.LoggerFactory;

/**
 * Log appender that counts the errors that the process logs, since a service whose task fails logs
 * the failure and continues.
 */
final class ErrorLog extends AppenderBase<ILoggingEvent> implements AutoCloseable {

    private static final String PACKAGE = "io.masticpond";

    private final Logger mLogger = (Logger) LoggerFactory.getLogger(PACKAGE);
    private final AtomicLong mCount = new AtomicLong();
    private volatile String mFirst = "";

    ErrorLog() {
        setContext(mLogger.getLoggerContext());
        start();
        mLogger.addAppender(this);
    }

    long count() {
        return mCount.get();
    }

    String first() {
        return mFirst;
    }

    @Override
    public void close() {
        mLogger.detachAppender(this);
        stop();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (event.getLevel().isGreaterOrEqual(Level.ERROR)) {
            mCount.incrementAndGet();
            if (mFirst.isEmpty()) {
                mFirst = event.getFormattedMessage();
            }
        }
    }
}
