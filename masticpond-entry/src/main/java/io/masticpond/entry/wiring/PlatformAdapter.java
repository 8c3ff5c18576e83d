package io.masticpond.entry.wiring;

import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.directory.DirectoryDecider;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.DocumentTranslator;
import io.masticpond.entry.replica.StoreFeed;
import io.masticpond.entry.replica.StoreProbe;
import io.masticpond.entry.settings.EntrySettings;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;

/**
 * Strategy interface for what differs between platforms: the names of headers, the access to the
 * store, and the formats of documents and answers.
 *
 * @since 0.2
 */
public interface PlatformAdapter {

    /**
     * Returns the names of headers.
     *
     * @return the names
     */
    HeaderNames headerNames();

    /**
     * Creates a client of the store.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @param timeSource the clock
     * @return the store
     */
    StoreFeed storeFeed(EventLoop control, EntrySettings settings, TimeSource timeSource);

    /**
     * Creates a client of the ledgers in the store. Called only if spending has a cap.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @return the store of the ledgers
     */
    ConditionalStore ledgerStore(EventLoop control, EntrySettings settings);

    /**
     * Creates the probe that checks whether the store answers.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @return the probe
     */
    StoreProbe storeProbe(EventLoop control, EntrySettings settings);

    /**
     * Returns the translator of documents.
     *
     * @return the translator
     */
    DocumentTranslator translator();

    /**
     * Creates the handler that answers clients that ask which instance to connect to.
     *
     * @param directory the decider
     * @param settings the settings of this instance
     * @return the handler
     */
    RequestHandler directoryHandler(DirectoryDecider directory, EntrySettings settings);

    /**
     * Creates the handler that answers whether this instance accepts clients.
     *
     * @param ready whether it does
     * @return the handler
     */
    RequestHandler readinessHandler(BooleanSupplier ready);
}
