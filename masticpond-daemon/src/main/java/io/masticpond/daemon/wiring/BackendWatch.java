package io.masticpond.daemon.wiring;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.Shard;
import io.masticpond.daemon.backend.BackendHealthChecker;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.steering.ShardDirectory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Periodic task that keeps the set of health-checked backend servers equal to those of the shards
 * that this instance currently admits to.
 *
 * <p>Confined to the steering thread.
 *
 * @since 0.1
 */
public final class BackendWatch {

    private static final Duration PERIOD = Duration.ofMillis(250);

    private final ShardDirectory mDirectory;
    private final BackendHealthChecker mHealth;
    private List<BackendServerSpecification> mWatched = List.of();

    /**
     * Creates a watch that is not started yet.
     *
     * @param directory provides the shards that this instance admits to
     * @param health checks the backend servers
     */
    public BackendWatch(ShardDirectory directory, BackendHealthChecker health) {
        mDirectory = directory;
        mHealth = health;
    }

    /**
     * Starts to follow the directory periodically.
     *
     * @param steeringLoop the steering event loop, which must not be started yet
     */
    public void follow(EventLoop steeringLoop) {
        steeringLoop.schedulePeriodically(PERIOD, this::watch);
    }

    private void watch() {
        List<BackendServerSpecification> servers = new ArrayList<>();
        for (Shard shard : mDirectory.shardsHere()) {
            servers.addAll(mDirectory.servers(shard));
        }
        if (!servers.equals(mWatched) && mHealth.watch(servers)) {
            mWatched = servers;
        }
    }
}
