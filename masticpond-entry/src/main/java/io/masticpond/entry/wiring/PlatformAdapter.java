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
 * What a platform spells in its own way, in the terms of an instance.
 *
 * @since 0.2
 */
public interface PlatformAdapter {

    /**
     * Gives the names of headers.
     *
     * @return the names
     */
    HeaderNames headerNames();

    /**
     * Gives access to the store.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @param timeSource the clock
     * @return the store
     */
    StoreFeed storeFeed(EventLoop control, EntrySettings settings, TimeSource timeSource);

    /**
     * Gives access to the ledgers in the store; asked only if spending has a cap.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @return the store of the ledgers
     */
    ConditionalStore ledgerStore(EventLoop control, EntrySettings settings);

    /**
     * Gives the call that looks whether the store answers.
     *
     * @param control the control thread
     * @param settings the settings of this instance
     * @return the probe
     */
    StoreProbe storeProbe(EventLoop control, EntrySettings settings);

    /**
     * Gives the translation of documents.
     *
     * @return the translator
     */
    DocumentTranslator translator();

    /**
     * Answers clients that ask where to connect.
     *
     * @param directory decides
     * @param settings the settings of this instance
     * @return the handler
     */
    RequestHandler directoryHandler(DirectoryDecider directory, EntrySettings settings);

    /**
     * Answers questions whether this instance takes clients.
     *
     * @param ready tells whether it does
     * @return the handler
     */
    RequestHandler readinessHandler(BooleanSupplier ready);
}
