package io.masticpond.daemon.instance;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the limits and timeouts of the links.
 *
 * @param listenAddress the address on which this instance listens for other instances, as
 *     "ip:port"; port 0 selects a free one
 * @param keys the keys with which instances authenticate each other
 * @param lowestVersion the lowest supported version of the protocol
 * @param highestVersion the highest supported version of the protocol
 * @param maximumFrameBytes the maximum size of a frame, and so of a message, in bytes
 * @param maximumQueuedBytes the maximum number of bytes that wait to be written to an instance on
 *     each lane
 * @param maximumCalls the maximum number of unanswered calls to an instance on each lane
 * @param connectTimeout the timeout for a connection and its handshake
 * @param minimumBackoff the backoff after the first failed connection
 * @param maximumBackoff the maximum backoff after repeated failed connections
 * @param busyInactivityTimeout the time without a received byte after which a connection with
 *     unanswered calls is closed
 * @param idleInactivityTimeout the time without a received byte after which any other connection is
 *     closed
 * @since 0.1
 */
public record LinkSettings(
        String listenAddress,
        KeyRing keys,
        int lowestVersion,
        int highestVersion,
        int maximumFrameBytes,
        int maximumQueuedBytes,
        int maximumCalls,
        Duration connectTimeout,
        Duration minimumBackoff,
        Duration maximumBackoff,
        Duration busyInactivityTimeout,
        Duration idleInactivityTimeout) {

    /** The version of the protocol that this code implements. */
    public static final int VERSION = 1;

    private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 4 << 20;
    private static final int DEFAULT_MAXIMUM_QUEUED_BYTES = 32 << 20;
    private static final int DEFAULT_MAXIMUM_CALLS = 8_192;

    /** Validates the limits. */
    public LinkSettings {
        Assert.hasText(listenAddress, "A listen address");
        Assert.notNull(keys, "A key ring");
        Assert.positive(lowestVersion, "The lowest version");
        Assert.isTrue(
                lowestVersion <= highestVersion,
                "The lowest version must not be above the highest version.");
        Assert.positive(maximumFrameBytes, "The maximum frame size");
        Assert.positive(maximumQueuedBytes, "The maximum number of queued bytes");
        Assert.positive(maximumCalls, "The maximum number of unanswered calls");
    }

    /**
     * Returns the default settings for a listen address and a key ring.
     *
     * @param listenAddress the address on which this instance listens for other instances, as
     *     "ip:port"
     * @param keys the keys with which instances authenticate each other
     * @return the settings
     */
    public static LinkSettings of(String listenAddress, KeyRing keys) {
        return new LinkSettings(
                listenAddress,
                keys,
                VERSION,
                VERSION,
                DEFAULT_MAXIMUM_FRAME_BYTES,
                DEFAULT_MAXIMUM_QUEUED_BYTES,
                DEFAULT_MAXIMUM_CALLS,
                Duration.ofSeconds(1),
                Duration.ofMillis(50),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(30));
    }
}
