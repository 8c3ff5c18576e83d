package io.masticpond.entry.backend;

import io.masticpond.core.time.TimeSource;
import io.netty.channel.EventLoop;

/** What the pools of all servers share. */
record PoolContext(
        ConnectionOptions options,
        ConnectionOpener opener,
        EventLoop eventLoop,
        TimeSource timeSource,
        ConnectionCounts counts,
        IdleReusePolicy idleTrust,
        Runnable whenIdle) {}
