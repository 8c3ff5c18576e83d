package io.masticpond.testing.backend;

import io.masticpond.core.support.Assert;

/**
 * Faults of a stand-in backend server, all off in {@link #NONE}.
 *
 * @param health statement of the server about its health
 * @param reportLagMillis age of the health and load reports in milliseconds
 * @param hidesLoad whether the load report states that nothing is in flight
 * @param frozen whether the server sends no responses; those of completed requests are sent
 *     afterwards
 * @param resetShare share of requests that run and whose connection is then reset, from 0 to 1
 * @param refuseShare share of requests whose connection is reset before they run, from 0 to 1
 * @param truncateShare share of responses that are truncated, from 0 to 1
 * @param errorShare share of requests that run and are answered with status 500, from 0 to 1
 * @param slowFactor factor of the service time
 * @since 0.1
 */
public record BackendServerFaults(
        HealthClaim health,
        long reportLagMillis,
        boolean hidesLoad,
        boolean frozen,
        double resetShare,
        double refuseShare,
        double truncateShare,
        double errorShare,
        double slowFactor) {

    /** No faults. */
    public static final BackendServerFaults NONE =
            new BackendServerFaults(HealthClaim.TRUE, 0, false, false, 0, 0, 0, 0, 1);

    /** Statement of a backend server about its health. */
    public enum HealthClaim {
        /** The actual state. */
        TRUE,
        /** Always healthy. */
        HEALTHY,
        /** Always unhealthy. */
        UNHEALTHY
    }

    /**
     * Validates the components; a missing claim means {@code TRUE}, and a missing factor means 1.
     */
    public BackendServerFaults {
        health = health == null ? HealthClaim.TRUE : health;
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        Assert.notNegative(reportLagMillis, "A lag of reports in milliseconds");
        Assert.isTrue(slowFactor > 0, "A factor must be positive.");
        checkShare(resetShare);
        checkShare(refuseShare);
        checkShare(truncateShare);
        checkShare(errorShare);
    }

    private static void checkShare(double share) {
        Assert.isTrue(share >= 0 && share <= 1, "A share is from 0 to 1, but was %s.", share);
    }
}
