package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Shared collaborators and settings of all parts of a replica.
 *
 * @param feed the platform's store
 * @param scheduler runs tasks on the control thread
 * @param time the clocks
 * @param random the source of jitter
 * @param settings the settings
 * @since 0.2
 */
public record ReplicaContext(
        StoreFeed feed,
        Scheduler scheduler,
        TimeSource time,
        UniformRandomProvider random,
        ReplicaSettings settings) {

    /** Checks that no component is {@code null}. */
    public ReplicaContext {
        Assert.notNull(feed, "A store feed");
        Assert.notNull(scheduler, "A scheduler");
        Assert.notNull(time, "A time source");
        Assert.notNull(random, "A source of random numbers");
        Assert.notNull(settings, "Replica settings");
    }
}
