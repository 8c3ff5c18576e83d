package io.masticpond.entry.backend;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.time.TimeSource;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** Collaborators shared by the pools of all servers. */
record PoolContext(
        ConnectionOptions options,
        ConnectionOpener opener,
        EventLoop eventLoop,
        TimeSource timeSource,
        ConnectionCounts counts,
        IdleReusePolicy idleReusePolicy,
        BodyBudget budget,
        Runnable onIdle,
        Consumer<RegisteredServer> onIdleReset) {}
