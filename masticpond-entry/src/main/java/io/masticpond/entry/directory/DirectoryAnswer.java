package io.masticpond.entry.directory;

import io.masticpond.core.fleet.ServerAddress;
import java.time.Duration;
import java.util.List;

/**
 * Answer of the directory to a client.
 *
 * @param addresses the addresses, any of which the client may pick; empty if no instance is ready
 * @param timeToLive how long the client may keep them
 * @since 0.2
 */
public record DirectoryAnswer(List<ServerAddress> addresses, Duration timeToLive) {}
