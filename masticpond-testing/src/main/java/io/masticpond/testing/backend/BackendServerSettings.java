package io.masticpond.testing.backend;

import io.masticpond.core.support.Assert;

/**
 * Settings of a stand-in backend server.
 *
 * @param id id of the backend server
 * @param address listen address as "ip:port"; port 0 selects a free port
 * @param slots maximum number of requests that run at once
 * @param queue maximum number of requests that wait for a slot; further requests are shed
 * @param meanMillis mean of the lognormal service time in milliseconds
 * @param sigma standard deviation of the logarithm of the service time; 0 for constant times
 * @param seed seed of the service times and faults
 * @param coldMillis time that the server is cold after a start, in milliseconds
 * @param coldFactor factor of the service time just after a start; it falls linearly to 1
 * @since 0.1
 */
public record BackendServerSettings(
        String id,
        String address,
        int slots,
        int queue,
        double meanMillis,
        double sigma,
        long seed,
        long coldMillis,
        double coldFactor) {

    /**
     * Validates the components; a missing cold factor means that the server does not start cold.
     */
    public BackendServerSettings {
        Assert.hasText(id, "The id of a backend server");
        Assert.hasText(address, "The address of a backend server");
        Assert.positive(slots, "The slots of a backend server");
        Assert.notNegative(queue, "The queue of a backend server");
        Assert.isTrue(meanMillis >= 0, "A service time must not be negative.");
        Assert.isTrue(sigma >= 0, "A standard deviation must not be negative.");
        Assert.notNegative(coldMillis, "A cold time in milliseconds");
        coldFactor = Math.max(1, coldFactor);
    }

    /**
     * Creates settings with a queue as long as the number of slots and without a cold start.
     *
     * @param id id of the backend server
     * @param address listen address as "ip:port"
     * @param slots maximum number of requests that run at once
     * @param meanMillis mean service time in milliseconds
     * @param sigma standard deviation of its logarithm
     * @param seed the seed
     * @return the settings
     */
    public static BackendServerSettings of(
            String id, String address, int slots, double meanMillis, double sigma, long seed) {
        return new BackendServerSettings(id, address, slots, slots, meanMillis, sigma, seed, 0, 1);
    }
}
