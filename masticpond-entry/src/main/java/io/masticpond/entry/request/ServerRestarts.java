package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.ProbeAnswer;
import io.masticpond.entry.backend.ProbeClient;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ServerRestart;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Driver that finds out whether a backend server that terminated runs again under its id, before
 * the registry says so. Until a health check is answered, or the server is registered anew, the
 * server is treated as cold. For use on the traffic thread only, except where stated.
 *
 * @since 0.3
 */
public final class ServerRestarts {

    private static final long FIRST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long MAXIMUM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAXIMUM_DOUBLINGS = 2;

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final ProbedServers mServers;
    private final ProbeClient mClient;
    private final DecisionLog mLog;
    private final UniformRandomProvider mRandom;
    private final Set<ServerLoad> mTerminated = new HashSet<>();

    /**
     * Creates the driver.
     *
     * @param eventLoop the traffic thread
     * @param timeSource the monotonic clock
     * @param flow the request path
     * @param client the sender of health checks
     * @param log the log of view changes
     * @param random the source of the jitter of the delays
     */
    public ServerRestarts(
            EventLoop eventLoop,
            TimeSource timeSource,
            RequestFlow flow,
            ProbeClient client,
            DecisionLog log,
            UniformRandomProvider random) {
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mFlow = Assert.notNull(flow, "A request path");
        mServers = new ProbedServers(flow, service -> 0);
        mClient = Assert.notNull(client, "A sender of health checks");
        mLog = Assert.notNull(log, "A decision log");
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /** Starts to follow the servers that terminate. Safe for use by any thread. */
    public void start() {
        mEventLoop.execute(() -> mFlow.crashGuard().setServerEndListener(this::onServerEnded));
    }

    private void onServerEnded(RegisteredServer server) {
        mFlow.servers().of(server.service()).stream()
                .filter(load -> load.server().isSameRun(server))
                .findFirst()
                .filter(mTerminated::add)
                .ifPresent(
                        load -> {
                            assumeRestart(load);
                            schedule(load, 1);
                        });
    }

    private void assumeRestart(ServerLoad load) {
        long warmUpNanos = mFlow.state().warmUp(load.server().service()).toNanos();
        load.registration().assumeRestart(mTimeSource.monotonicNanos() + warmUpNanos);
    }

    /** Schedules a probe; the jitter keeps instances from probing at the same time. */
    private void schedule(ServerLoad load, int probe) {
        int doublings = Math.min(probe - 1, MAXIMUM_DOUBLINGS);
        long delayNanos = Math.min(MAXIMUM_DELAY_NANOS, FIRST_DELAY_NANOS << doublings);
        mEventLoop.schedule(
                () -> probe(load, probe),
                delayNanos / 2 + mRandom.nextLong(delayNanos / 2 + 1),
                TimeUnit.NANOSECONDS);
    }

    private void probe(ServerLoad load, int probe) {
        Optional<String> path = load.isTerminated() ? Optional.empty() : mServers.healthPath(load);
        if (path.isEmpty()) {
            mTerminated.remove(load);
            return;
        }
        mClient.sendOnNewConnection(
                load.server(),
                path.get(),
                end ->
                        end.peek(answer -> answered(load, probe, answer))
                                .peekLeft(
                                        failure -> {
                                            assumeRestart(load);
                                            schedule(load, probe + 1);
                                        }));
    }

    private void answered(ServerLoad load, int probe, ProbeAnswer answer) {
        mTerminated.remove(load);
        mServers.applyAnswer(load, answer.status(), answer.headers(), answer.sentNanos());
        if (load.registration().mayHaveRestarted()) {
            assumeRestart(load);
        }
        long coldNanos = load.server().coldUntilNanos() - mTimeSource.monotonicNanos();
        mLog.viewChanged(
                new ServerRestart(
                        load.server().id(),
                        Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldNanos)),
                        probe));
    }
}
