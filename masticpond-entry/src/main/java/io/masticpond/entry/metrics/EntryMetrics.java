package io.masticpond.entry.metrics;

import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.StoreFeed;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * All metrics of an instance: counts by itself what goes through the log and the store's feed, and
 * asks the other parts when scraped. Safe for all threads.
 *
 * @since 0.2
 */
public final class EntryMetrics {

    /** The media type of a scrape. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final RequestCounts mRequests = new RequestCounts();
    private final StoreCallCounts mStoreCalls = new StoreCallCounts();
    private final LineCounts mLines;
    private final Consumer<EntryValues> mSource;

    /**
     * Makes metrics, all at zero.
     *
     * @param lines the counts of log lines
     * @param source sets the figures of other parts; called on the thread that scrapes
     */
    public EntryMetrics(LineCounts lines, Consumer<EntryValues> source) {
        mLines = Assert.notNull(lines, "Counts of lines");
        mSource = Assert.notNull(source, "A source of values");
    }

    /**
     * Puts a count before a log.
     *
     * @param next the log
     * @return a log that counts requests and passes all on
     */
    public DecisionLog counting(DecisionLog next) {
        return new CountingLog(Assert.notNull(next, "A log"), mRequests);
    }

    /**
     * Puts a count before the store's feed.
     *
     * @param next the feed
     * @return a feed that counts calls and passes all on
     */
    public StoreFeed counting(StoreFeed next) {
        return new CountingStoreFeed(Assert.notNull(next, "A feed"), mStoreCalls);
    }

    /**
     * Puts a count before a store of conditional updates.
     *
     * @param next the store
     * @return a store that counts calls and passes all on
     */
    public ConditionalStore counting(ConditionalStore next) {
        return CountingConditionalStore.of(Assert.notNull(next, "A store"), mStoreCalls);
    }

    /**
     * Spells all metrics for a scraper, as {@link #CONTENT_TYPE} says. The first call loads the
     * library for it and takes tens of milliseconds.
     *
     * @return the text
     */
    public String scrape() {
        return new String(scrapeBytes(), StandardCharsets.UTF_8);
    }

    /**
     * Spells all metrics as {@link #scrape} does.
     *
     * @return the text in UTF-8
     */
    public byte[] scrapeBytes() {
        EntryValues values = new EntryValues();
        mSource.accept(values);
        return new MetricPage(mRequests, mStoreCalls, mLines, values).text();
    }
}
