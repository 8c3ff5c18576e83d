package io.masticpond.core.body;

import io.masticpond.core.support.Assert;

/**
 * Settings of a {@link BodyBudget}, in bytes.
 *
 * @param totalBytes the limit of both directions together
 * @param directionBytes the limit of each direction
 * @param connectionBytes the limit of each connection in a direction; a single body may exceed it
 * @param reserveBytes the bytes that are kept free for small request bodies
 * @since 0.3
 */
public record BodyBudgetSettings(
        long totalBytes, long directionBytes, long connectionBytes, long reserveBytes) {

    private static final long MEGABYTE = 1024 * 1024;

    /** Memory of a process without bodies, some 49 MB at light load, with a margin. */
    private static final long BASE_MEGABYTES = 64;

    private static final long MINIMUM_TOTAL_BYTES = 8 * MEGABYTE;

    /** Part of the memory above the base; the rest is for the heap and the buffers of sockets. */
    private static final int MEMORY_DIVISOR = 4;

    private static final double DIRECTION_SHARE = 0.6;
    private static final int CONNECTION_DIVISOR = 8;
    private static final int RESERVE_DIVISOR = 16;

    /** Validates that the limits are in range. */
    public BodyBudgetSettings {
        Assert.positive(totalBytes, "A limit of bytes in both directions");
        Assert.positive(directionBytes, "A limit of bytes in a direction");
        Assert.positive(connectionBytes, "A limit of bytes of a connection");
        Assert.notNegative(reserveBytes, "A reserve for small bodies");
        Assert.isTrue(
                reserveBytes < directionBytes && directionBytes <= totalBytes,
                "A reserve for small bodies must be below the limit of a direction, and that limit "
                        + "at most the total, but they were %d, %d and %d.",
                reserveBytes,
                directionBytes,
                totalBytes);
    }

    /**
     * Derives the settings from the memory of the process.
     *
     * @param memoryMegabytes the memory above which the process is killed, in MB
     * @return the settings
     */
    public static BodyBudgetSettings ofMemory(int memoryMegabytes) {
        long available = (memoryMegabytes - BASE_MEGABYTES) * MEGABYTE;
        return ofTotal(Math.max(MINIMUM_TOTAL_BYTES, available / MEMORY_DIVISOR));
    }

    /**
     * Derives the settings from the limit of both directions together.
     *
     * @param totalBytes the limit
     * @return the settings
     */
    public static BodyBudgetSettings ofTotal(long totalBytes) {
        long directionBytes = (long) (DIRECTION_SHARE * totalBytes);
        return new BodyBudgetSettings(
                totalBytes,
                directionBytes,
                Math.max(1, directionBytes / CONNECTION_DIVISOR),
                directionBytes / RESERVE_DIVISOR);
    }
}
