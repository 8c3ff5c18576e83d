package io.masticpond.entry.metrics;

import io.masticpond.core.probe.ProbeResult;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.StoreFeed;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Metrics of an instance. Counts what passes through the log and the store's feed, and queries the
 * other components when scraped. Safe for use by multiple threads.
 *
 * @since 0.2
 */
public final class EntryMetrics {

    /** Media type of a scrape. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** Maximum number of services with a label of their own. */
    private static final int SERVICES = 24;

    /** Maximum number of regions with a label of their own. */
    private static final int REGIONS = 8;

    private final RequestCounts mRequests = new RequestCounts();
    private final BoundedNames mServices = new BoundedNames(SERVICES);
    private final BoundedNames mRegions = new BoundedNames(REGIONS);
    private final StoreCallCounts mStoreCalls = new StoreCallCounts();
    private final ProbeCounts mProbes = new ProbeCounts();
    private final LineCounts mLines;
    private final Consumer<EntryValues> mSource;

    /**
     * Creates metrics, all of which are zero.
     *
     * @param lines the counts of log lines
     * @param source sets the values of other components; called on the thread that scrapes
     */
    public EntryMetrics(LineCounts lines, Consumer<EntryValues> source) {
        mLines = Assert.notNull(lines, "Counts of lines");
        mSource = Assert.notNull(source, "A source of values");
    }

    /**
     * Decorates a log with counters.
     *
     * @param next the log
     * @return a log that counts requests and delegates to the given one
     */
    public DecisionLog counting(DecisionLog next) {
        return new CountingLog(Assert.notNull(next, "A log"), mRequests);
    }

    /**
     * Decorates the store's feed with counters.
     *
     * @param next the feed
     * @return a feed that counts calls and delegates to the given one
     */
    public StoreFeed counting(StoreFeed next) {
        return new CountingStoreFeed(Assert.notNull(next, "A feed"), mStoreCalls);
    }

    /**
     * Decorates a store of conditional updates with counters.
     *
     * @param next the store
     * @return a store that counts calls and delegates to the given one
     */
    public ConditionalStore counting(ConditionalStore next) {
        return CountingConditionalStore.of(Assert.notNull(next, "A store"), mStoreCalls);
    }

    /**
     * Counts a probe of a backend server that has ended.
     *
     * @param result its result
     */
    public void countProbe(ProbeResult result) {
        mProbes.ended(result);
    }

    /**
     * Formats all metrics for a scraper, in the format of {@link #CONTENT_TYPE}. The first call
     * loads the metrics library and takes tens of milliseconds.
     *
     * @return the text
     */
    public String scrape() {
        return new String(scrapeBytes(), StandardCharsets.UTF_8);
    }

    /**
     * Formats all metrics as {@link #scrape} does.
     *
     * @return the text in UTF-8
     */
    public byte[] scrapeBytes() {
        EntryValues values = new EntryValues(mServices, mRegions);
        mSource.accept(values);
        return new MetricPage(mRequests, mStoreCalls, mProbes, mLines, values).text();
    }
}
