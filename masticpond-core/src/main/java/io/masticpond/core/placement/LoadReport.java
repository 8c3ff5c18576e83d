package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;

/**
 * Report of the load of a backend server, as one instance sends it to others.
 *
 * @param serverHash the hash of the server's id, which identifies the server on all instances
 * @param load the load that the server reported
 * @since 0.2
 */
public record LoadReport(long serverHash, ReportedLoad load) {

    /** Checks that the load is not {@code null}. */
    public LoadReport {
        Assert.notNull(load, "A load");
    }
}
