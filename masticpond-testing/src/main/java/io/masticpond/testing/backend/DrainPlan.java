package io.masticpond.testing.backend;

import io.masticpond.core.support.Assert;

/**
 * Schedule by which a leaving backend server announces that it leaves. Times count from the start
 * of the drain; -1 means never.
 *
 * @param healthAfterMillis time after which the health response states it, in milliseconds
 * @param headerAfterMillis time after which responses carry the leaving header, in milliseconds
 * @param closeAfterMillis time after which each response closes its connection, in milliseconds
 * @since 0.1
 */
public record DrainPlan(long healthAfterMillis, long headerAfterMillis, long closeAfterMillis) {

    /** Time of an announcement that is never made. */
    public static final long NEVER = -1;

    /** Validates the components. */
    public DrainPlan {
        checkTime(healthAfterMillis);
        checkTime(headerAfterMillis);
        checkTime(closeAfterMillis);
    }

    /**
     * Creates a plan that announces at once by health response and by header.
     *
     * @return the plan
     */
    public static DrainPlan atOnce() {
        return new DrainPlan(0, 0, NEVER);
    }

    static boolean reached(long afterMillis, long elapsedMillis) {
        return afterMillis != NEVER && elapsedMillis >= afterMillis;
    }

    private static void checkTime(long millis) {
        Assert.isTrue(millis >= NEVER, "A time of a sign is -1 or more, but was %d.", millis);
    }
}
