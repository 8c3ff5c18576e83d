package io.masticpond.entry.metrics;

import java.util.EnumMap;
import java.util.Map;

/**
 * Collector of the values for one scrape, which are set by the components that maintain them.
 *
 * @since 0.2
 */
public final class EntryValues {

    private final Map<EntryValue, Double> mValues = new EnumMap<>(EntryValue.class);

    EntryValues() {}

    /**
     * Sets a value. A metric without a value is not shown.
     *
     * @param value the metric
     * @param number the value
     */
    public void set(EntryValue value, double number) {
        mValues.put(value, number);
    }

    /**
     * Sets an integral value. A metric without a value is not shown.
     *
     * @param value the metric
     * @param number the value
     */
    public void set(EntryValue value, long number) {
        mValues.put(value, (double) number);
    }

    /** Returns the values that were set. */
    Map<EntryValue, Double> all() {
        return mValues;
    }
}
