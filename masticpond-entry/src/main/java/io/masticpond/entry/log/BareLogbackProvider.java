package io.masticpond.entry.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider for a Logback context that skips the search for a configuration. Searching for
 * files and configurators and ranking them takes a tenth of the startup time, and {@link
 * LogbackBridge} configures Logback in code. A process selects this type by the property {@code
 * slf4j.provider}. Nothing is written until the log is installed.
 *
 * @since 0.2
 */
public final class BareLogbackProvider implements SLF4JServiceProvider {

    private static final String REQUESTED_VERSION = "2.0.99";

    private final LoggerContext mContext = new LoggerContext();
    private final IMarkerFactory mMarkers = new BasicMarkerFactory();
    private final LogbackMDCAdapter mContextMap = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        mContext.setName("default");
        mContext.setMDCAdapter(mContextMap);
        mContext.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
        mContext.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return mContext;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return mMarkers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mContextMap;
    }

    @Override
    public String getRequestedApiVersion() {
        return REQUESTED_VERSION;
    }
}
