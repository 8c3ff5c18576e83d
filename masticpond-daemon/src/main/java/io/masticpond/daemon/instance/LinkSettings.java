package io.masticpond.daemon.instance;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Limits and times of the links.
 *
 * @param listenAddress where other instances reach this one, as "ip:port"; port 0 takes a free one
 * @param keys the shared keys
 * @param lowestVersion the lowest version of the protocol that is spoken
 * @param highestVersion the highest version of the protocol that is spoken
 * @param maximumFrameBytes the largest frame, the bound of a message
 * @param maximumQueuedBytes how many bytes may wait to be written to an instance on each lane
 * @param maximumCalls how many calls to an instance may be unanswered on each lane
 * @param connectTimeout how long to wait for a connection and its handshake
 * @param minimumBackoff the wait after a first failed connection
 * @param maximumBackoff the longest wait after failed connections
 * @param busyInactivityTimeout after how long without a byte a connection with unanswered calls is
 *     closed
 * @param idleInactivityTimeout after how long without a byte any other connection is closed
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

    /** The version of the protocol that this code speaks. */
    public static final int VERSION = 1;

    private static final int FRAME_BYTES = 4 << 20;
    private static final int QUEUED_BYTES = 32 << 20;
    private static final int CALLS = 8_192;

    /** Checks the limits. */
    public LinkSettings {
        Assert.hasText(listenAddress, "A listen address");
        Assert.notNull(keys, "A key ring");
        Assert.positive(lowestVersion, "The lowest version");
        Assert.isTrue(lowestVersion <= highestVersion, "The versions are in the wrong order.");
        Assert.positive(maximumFrameBytes, "The largest frame");
        Assert.positive(maximumQueuedBytes, "The bytes that may wait");
        Assert.positive(maximumCalls, "The calls that may be unanswered");
    }

    /**
     * Gives the settings that suit most places.
     *
     * @param listenAddress where other instances reach this one, as "ip:port"
     * @param keys the shared keys
     * @return the settings
     */
    public static LinkSettings of(String listenAddress, KeyRing keys) {
        return new LinkSettings(
                listenAddress,
                keys,
                VERSION,
                VERSION,
                FRAME_BYTES,
                QUEUED_BYTES,
                CALLS,
                Duration.ofSeconds(1),
                Duration.ofMillis(50),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(30));
    }
}
