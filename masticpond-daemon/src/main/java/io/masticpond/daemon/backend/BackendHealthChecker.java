package io.masticpond.daemon.backend;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Service that probes the health and the load of backend servers, and reports the resulting
 * signals.
 *
 * <p>It probes only the servers that this instance admits work to, so that a server is probed by
 * one instance, or by two while its admitter changes. At most one probe of a server is in flight;
 * the times of the probes have random jitter. The state of a server that is no longer watched is
 * removed, and a response that it sends afterwards is dropped.
 *
 * @since 0.1
 */
public final class BackendHealthChecker implements AutoCloseable {

    private static final int QUEUE_CAPACITY = 1_024;
    private static final Duration CHECK_PERIOD = Duration.ofMillis(20);
    private static final double MINIMUM_PERIOD_SHARE = 0.8;
    private static final double PERIOD_SHARE_RANGE = 0.4;

    private final BackendHealthSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final BackendSignalListener mListener;
    private final ProbeClient mClient;
    private final EventLoop mEventLoop;
    private final Map<BackendServerId, WatchedServer> mServers = new HashMap<>();

    /**
     * Creates a checker without servers to watch, and starts its event loop.
     *
     * @param settings the periods and timeouts of probes
     * @param timeSource the clock
     * @param random the source of the jitter, which must not be shared with other objects
     * @param listener the listener of the signals of servers
     */
    public BackendHealthChecker(
            BackendHealthSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            BackendSignalListener listener) {
        mSettings = Assert.notNull(settings, "The settings of health checks");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = Assert.notNull(random, "A source of random numbers");
        mListener = Assert.notNull(listener, "A listener");
        mClient = new ProbeClient(settings.timeout());
        mEventLoop = new EventLoop("health", QUEUE_CAPACITY, timeSource);
        mEventLoop.schedulePeriodically(CHECK_PERIOD, this::probeDue);
        mEventLoop.start();
    }

    /**
     * Replaces the servers that are watched.
     *
     * @param servers the servers that this instance admits work to
     * @return {@code true} if the change was accepted; {@code false} if the queue of the event loop
     *     is full and the calling code must retry
     */
    public boolean watch(List<BackendServerSpecification> servers) {
        List<BackendServerSpecification> copy = List.copyOf(servers);
        return mEventLoop.offer(() -> replaceServers(copy));
    }

    @Override
    public void close() {
        mEventLoop.close();
        mClient.close();
    }

    private void replaceServers(List<BackendServerSpecification> servers) {
        Map<BackendServerId, WatchedServer> before = new HashMap<>(mServers);
        mServers.clear();
        for (BackendServerSpecification server : servers) {
            WatchedServer known = before.get(server.id());
            boolean same = known != null && known.mAddress.equals(server.address());
            mServers.put(server.id(), same ? known : new WatchedServer(server));
        }
    }

    private void probeDue() {
        long now = mTimeSource.monotonicNanos();
        for (WatchedServer server : mServers.values()) {
            if (!server.mProbeInFlight && server.mNextProbeNanos - now <= 0) {
                probe(server, now);
            }
        }
    }

    private void probe(WatchedServer server, long now) {
        double share = MINIMUM_PERIOD_SHARE + PERIOD_SHARE_RANGE * mRandom.nextDouble();
        server.mNextProbeNanos = now + (long) (mSettings.period().toNanos() * share);
        server.mProbeInFlight = true;
        server.mProbes++;
        if (server.mProbes % (mSettings.healthProbesPerLoadProbe() + 1) == 0) {
            mClient.load(server.mAddress, result -> enqueueResult(server, result));
            server.mNextProbeNanos = now;
        } else {
            mClient.health(server.mAddress, result -> enqueueResult(server, result));
        }
    }

    /**
     * Passes a result from a thread of the client to the event loop. If its queue is full, the
     * result is dropped and the probe is no longer in flight.
     */
    private void enqueueResult(WatchedServer server, ProbeResult result) {
        if (!mEventLoop.offer(() -> processResult(server, result))) {
            server.mProbeInFlight = false;
        }
    }

    private void processResult(WatchedServer server, ProbeResult result) {
        server.mProbeInFlight = false;
        if (mServers.get(server.mId) != server) {
            return;
        }
        for (BackendServerSignal signal : server.mEvaluator.evaluate(result)) {
            mListener.onSignal(server.mId, signal);
        }
    }

    /** A watched server with the state of its probes. */
    private final class WatchedServer {

        private final BackendServerId mId;
        private final String mAddress;
        private final ProbeEvaluator mEvaluator = new ProbeEvaluator();
        private long mNextProbeNanos;
        private long mProbes;

        /** Whether a probe is in flight; also cleared by threads of the client. */
        private volatile boolean mProbeInFlight;

        WatchedServer(BackendServerSpecification server) {
            mId = server.id();
            mAddress = server.address();
            long initialDelay = (long) (mSettings.period().toNanos() * mRandom.nextDouble());
            mNextProbeNanos = mTimeSource.monotonicNanos() + initialDelay;
        }
    }
}
