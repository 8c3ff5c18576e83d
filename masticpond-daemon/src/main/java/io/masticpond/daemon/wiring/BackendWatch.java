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
 * Lets the health duty ask the backend servers of the shards that this instance admits to now.
 *
 * <p>Belongs to the steering duty.
 *
 * @since 0.1
 */
public final class BackendWatch {

    private static final Duration PERIOD = Duration.ofMillis(250);

    private final ShardDirectory mDirectory;
    private final BackendHealthChecker mHealth;
    private List<BackendServerSpecification> mWatched = List.of();

    /**
     * Makes a watch that does not follow the directory yet.
     *
     * @param directory tells which shards are admitted here
     * @param health asks the backend servers
     */
    public BackendWatch(ShardDirectory directory, BackendHealthChecker health) {
        mDirectory = directory;
        mHealth = health;
    }

    /**
     * Follows the directory from now on.
     *
     * @param steering the steering duty, which must not be started yet
     */
    public void follow(EventLoop steering) {
        steering.every(PERIOD, this::watch);
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
