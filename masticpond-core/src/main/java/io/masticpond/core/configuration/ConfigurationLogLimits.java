package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Limits of the size of a log of changes.
 *
 * @param maximumBytes the maximum total size in bytes of the changes of a log
 * @param size the function that returns the size in bytes of a change as it is written
 * @since 0.1
 */
public record ConfigurationLogLimits(long maximumBytes, ToLongFunction<ConfigurationChange> size) {

    /** Validates the components. */
    public ConfigurationLogLimits {
        Assert.positive(maximumBytes, "The size of a log");
        Assert.notNull(size, "A size of changes");
    }

    /**
     * Removes the oldest entries of a log that exceeds the maximum, until the log has at most half
     * of the maximum size, so that there is room for the next entries.
     *
     * @param log the log
     * @return the newest entries
     */
    public List<ConfigurationLogEntry> trim(List<ConfigurationLogEntry> log) {
        long total = log.stream().mapToLong(entry -> size.applyAsLong(entry.change())).sum();
        if (total <= maximumBytes) {
            return log;
        }
        int first = 0;
        while (first < log.size() && total > maximumBytes / 2) {
            total -= size.applyAsLong(log.get(first).change());
            first++;
        }
        return log.subList(first, log.size());
    }
}
