package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;

/**
 * The load of a backend server, as one instance tells it to others.
 *
 * @param serverHash the hash of the server's id, by which all instances know it
 * @param load the load that the server told
 * @since 0.2
 */
public record LoadReport(long serverHash, ReportedLoad load) {

    /** Checks that the load is given. */
    public LoadReport {
        Assert.notNull(load, "A load");
    }
}
