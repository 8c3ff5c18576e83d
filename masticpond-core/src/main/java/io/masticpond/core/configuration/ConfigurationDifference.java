package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;

/**
 * Difference between two configurations in one place.
 *
 * @param path the place, such as "services[reader].backendServers[reader-1].slots"
 * @param kind the kind of the difference
 * @param before the value before, or "" if there was none
 * @param after the value after, or "" if there is none
 * @since 0.1
 */
public record ConfigurationDifference(String path, Kind kind, String before, String after) {

    /** Kind of a difference. */
    public enum Kind {
        /** The place had no value before. */
        ADDED,
        /** The place has no value after the change. */
        REMOVED,
        /** The value has changed. */
        CHANGED
    }

    /** Validates the components. */
    public ConfigurationDifference {
        Assert.hasText(path, "A path");
        Assert.notNull(kind, "A kind of difference");
        Assert.notNull(before, "A value before");
        Assert.notNull(after, "A value after");
    }
}
