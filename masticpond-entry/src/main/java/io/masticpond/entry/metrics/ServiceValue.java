package io.masticpond.entry.metrics;

/**
 * Metric of a service whose value another component keeps and a scrape queries.
 *
 * @since 0.3
 */
public enum ServiceValue {
    /** Estimated number of requests at the usable servers, relative to their slots. */
    FULLNESS("service_fullness", "Requests at usable servers, relative to their slots.", false),
    /** Requests per second that the usable servers can process. */
    CAPACITY("service_capacity", "Requests a second that usable servers can process.", false),
    /** Servers whose work takes far longer than the mean of the service. */
    SLOW_SERVERS("slow_servers", "Servers whose work takes far longer than usual.", false),
    /** Requests that were refused because their group had used up its share. */
    SHARE_REFUSALS("share_refusals", "Requests refused beyond the share of their callers.", true);

    private final String mName;
    private final String mHelp;
    private final boolean mTotal;

    ServiceValue(String name, String help, boolean total) {
        mName = name;
        mHelp = help;
        mTotal = total;
    }

    /** Returns the name in lower case, without the common prefix of all metrics. */
    String metricName() {
        return mName;
    }

    /** Returns the description of the metric. */
    String help() {
        return mHelp;
    }

    /** Returns whether the value only ever increases. */
    boolean isTotal() {
        return mTotal;
    }
}
