package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holder of the configuration in force at this instance, whose version never decreases.
 *
 * <p>Thread-safe. Listeners are called in order of version on the thread that calls {@link #offer},
 * so they must hand the configuration over to their own event loop and return.
 *
 * @since 0.1
 */
public final class ConfigurationHolder {

    private static final Logger sLogger = LoggerFactory.getLogger(ConfigurationHolder.class);

    private final List<Consumer<Configuration>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Configuration mCurrent = Configuration.EMPTY;

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#EMPTY} before the first one
     */
    public Configuration current() {
        return mCurrent;
    }

    /**
     * Puts a configuration into force if its version is higher than that of the configuration in
     * force.
     *
     * @param configuration the configuration
     * @return {@code true} if the given configuration is now in force
     */
    public synchronized boolean offer(Configuration configuration) {
        Assert.notNull(configuration, "A configuration");
        if (!configuration.version().isAfter(mCurrent.version())) {
            return false;
        }
        mCurrent = configuration;
        mListeners.forEach(listener -> notifyListener(listener, configuration));
        return true;
    }

    /**
     * Adds a listener, and calls it with the configuration in force, if any.
     *
     * @param listener the listener, called with each configuration that comes into force
     */
    public synchronized void addListener(Consumer<Configuration> listener) {
        mListeners.add(Assert.notNull(listener, "A listener"));
        if (!mCurrent.equals(Configuration.EMPTY)) {
            listener.accept(mCurrent);
        }
    }

    /**
     * Notifies a listener. A listener that fails must not prevent the update from reaching the
     * other listeners or other instances.
     */
    private static void notifyListener(
            Consumer<Configuration> listener, Configuration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException e) {
            sLogger.error(
                    "CONFIG  A listener failed to process configuration version {}.",
                    configuration.version(),
                    e);
        }
    }
}
