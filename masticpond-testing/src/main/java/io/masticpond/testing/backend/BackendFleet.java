package io.masticpond.testing.backend;

import io.masticpond.core.support.Assert;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Set of stand-in backend servers in one process that share two event loops and one execution log.
 *
 * @since 0.1
 */
public final class BackendFleet implements AutoCloseable {

    private static final int EVENT_LOOPS = 2;
    private static final long STOP_MILLIS = 2_000;

    private final MultiThreadIoEventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final ExecutionLog mLog = new ExecutionLog();
    private final Map<String, BackendServerStandIn> mServers = new LinkedHashMap<>();

    /**
     * Creates a fleet and starts its servers.
     *
     * @param settings settings of each server, with distinct ids
     */
    public BackendFleet(List<BackendServerSettings> settings) {
        for (BackendServerSettings each : settings) {
            BackendServerStandIn server = new BackendServerStandIn(each, mEventLoops.next(), mLog);
            BackendServerStandIn before = mServers.put(each.id(), server);
            Assert.isTrue(before == null, "The backend server id %s is used twice.", each.id());
        }
        mServers.values().forEach(BackendServerStandIn::start);
    }

    /**
     * Returns the servers in the order of their settings.
     *
     * @return the servers
     */
    public Collection<BackendServerStandIn> servers() {
        return List.copyOf(mServers.values());
    }

    /**
     * Returns the server with an id.
     *
     * @param id id of the backend server
     * @return the server, or empty if there is none
     */
    public Optional<BackendServerStandIn> server(String id) {
        return Optional.ofNullable(mServers.get(id));
    }

    /**
     * Returns the log that all servers share.
     *
     * @return the log
     */
    public ExecutionLog log() {
        return mLog;
    }

    @Override
    public void close() {
        mServers.values().forEach(BackendServerStandIn::close);
        mEventLoops.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
