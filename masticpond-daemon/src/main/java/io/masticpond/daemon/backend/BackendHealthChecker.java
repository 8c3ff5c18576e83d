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
 * Asks backend servers about their health and load, and passes on what they say.
 *
 * <p>It asks only the servers that this instance admits work to, so that a server is asked by one
 * instance, or two while the admitter changes. At most one call to a server is in flight; the times
 * of the calls are spread at random. A server that is not watched any more is forgotten, and an
 * answer that comes from it afterwards is dropped.
 *
 * @since 0.1
 */
public final class BackendHealthChecker implements AutoCloseable {

    private static final int RING_CAPACITY = 1_024;
    private static final Duration CHECK_PERIOD = Duration.ofMillis(20);
    private static final double LEAST_SHARE = 0.8;
    private static final double SPREAD_SHARE = 0.4;

    private final BackendHealthSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final BackendSignalListener mListener;
    private final ProbeClient mClient;
    private final EventLoop mDuty;
    private final Map<BackendServerId, WatchedServer> mServers = new HashMap<>();

    /**
     * Starts the duty with no servers to watch.
     *
     * @param settings how often servers are asked
     * @param timeSource the clock
     * @param random the source of the jitter, for this object alone
     * @param listener takes what servers say
     */
    public BackendHealthChecker(
            BackendHealthSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            BackendSignalListener listener) {
        mSettings = Assert.notNull(settings, "The settings of health calls");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = Assert.notNull(random, "A source of random numbers");
        mListener = Assert.notNull(listener, "A listener");
        mClient = new ProbeClient(settings.timeout());
        mDuty = new EventLoop("health", RING_CAPACITY, timeSource);
        mDuty.every(CHECK_PERIOD, this::probeDue);
        mDuty.start();
    }

    /**
     * Watches these servers from now on, and no others.
     *
     * @param servers the servers that this instance admits work to
     * @return whether the change was taken; if not, the duty's ring is full and the caller tries
     *     again
     */
    public boolean watch(List<BackendServerSpecification> servers) {
        List<BackendServerSpecification> copy = List.copyOf(servers);
        return mDuty.offer(() -> replace(copy));
    }

    @Override
    public void close() {
        mDuty.close();
        mClient.close();
    }

    private void replace(List<BackendServerSpecification> servers) {
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
            if (!server.mCalling && server.mNextNanos - now <= 0) {
                probe(server, now);
            }
        }
    }

    private void probe(WatchedServer server, long now) {
        double share = LEAST_SHARE + SPREAD_SHARE * mRandom.nextDouble();
        server.mNextNanos = now + (long) (mSettings.period().toNanos() * share);
        server.mCalling = true;
        server.mProbes++;
        if (server.mProbes % (mSettings.loadEvery() + 1) == 0) {
            mClient.load(server.mAddress, end -> handOver(server, end));
            server.mNextNanos = now;
        } else {
            mClient.health(server.mAddress, end -> handOver(server, end));
        }
    }

    /** Takes an end from a thread of the client; if the ring is full, the call counts as lost. */
    private void handOver(WatchedServer server, ProbeResult end) {
        if (!mDuty.offer(() -> ended(server, end))) {
            server.mCalling = false;
        }
    }

    private void ended(WatchedServer server, ProbeResult end) {
        server.mCalling = false;
        if (mServers.get(server.mId) != server) {
            return;
        }
        for (BackendServerSignal sign : server.mJudge.evaluate(end)) {
            mListener.observe(server.mId, sign);
        }
    }

    /** A server with the state of its calls. */
    private final class WatchedServer {

        private final BackendServerId mId;
        private final String mAddress;
        private final ProbeEvaluator mJudge = new ProbeEvaluator();
        private long mNextNanos;
        private long mProbes;

        /** Whether a call is in flight; also cleared by threads of the client. */
        private volatile boolean mCalling;

        WatchedServer(BackendServerSpecification server) {
            mId = server.id();
            mAddress = server.address();
            long spread = (long) (mSettings.period().toNanos() * mRandom.nextDouble());
            mNextNanos = mTimeSource.monotonicNanos() + spread;
        }
    }
}
