package io.masticpond.entry.wiring;

import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.probe.ProbePlanner;
import io.masticpond.core.probe.ProbeResult;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.NettyBackendConnections;
import io.masticpond.entry.backend.ProbeAnswer;
import io.masticpond.entry.backend.ProbeClient;
import io.masticpond.entry.metrics.EntryMetrics;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.request.ProbedServers;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sender of probes for the load of backend servers, at the rate of the settings. While that is 0,
 * only the settings are read, once in {@link #IDLE_NANOS}.
 */
@Singleton
final class Probing {

    private static final Logger sLogger = LoggerFactory.getLogger(Probing.class);

    /** Time until reloaded settings are seen while no probes are sent. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Shortest time between two probes, so that a high rate does not occupy the thread. */
    private static final long MINIMUM_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop mTraffic;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final LoadControlActivation mLoadControl;
    private final EntryMetrics mMetrics;
    private final ProbePlanner mPlanner;
    private final ProbedServers mServers;
    private final ProbeClient mClient;
    private final Map<ProbeResult, Integer> mUnlogged = new EnumMap<>(ProbeResult.class);
    private long mLoggedNanos;

    @Inject
    Probing(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            RequestFlow flow,
            NettyBackendConnections connections,
            LoadControlActivation loadControl,
            PeerInstance self,
            EntryMetrics metrics) {
        mTraffic = traffic;
        mTimeSource = timeSource;
        mFlow = flow;
        mLoadControl = loadControl;
        mMetrics = metrics;
        mPlanner = new ProbePlanner(flow.placer().chooser());
        mServers = new ProbedServers(flow, flow.placer().chooser().speeds()::persistenceNanos);
        mClient =
                new ProbeClient(
                        connections,
                        traffic,
                        timeSource,
                        "probe-" + self.id().value() + "-" + self.incarnation() + "-");
    }

    /** Starts sending. */
    void start() {
        mTraffic.execute(
                () -> {
                    mFlow.placer().setPlacementListener(mPlanner::requested);
                    mLoggedNanos = mTimeSource.monotonicNanos();
                    run();
                });
    }

    private void run() {
        mPlanner.setRate(mLoadControl.settings().probesPerSecond());
        mPlanner.next(mServers, mTimeSource.monotonicNanos()).ifPresent(this::probe);
        logResults();
        long period = Math.min(IDLE_NANOS, mPlanner.intervalNanos());
        mTraffic.schedule(this::run, Math.max(MINIMUM_PERIOD_NANOS, period), TimeUnit.NANOSECONDS);
    }

    private void probe(ServerLoad server) {
        Optional<String> path = mServers.healthPath(server);
        if (path.isEmpty()) {
            mPlanner.ended(server, ProbeResult.FAILED, mTimeSource.monotonicNanos());
            return;
        }
        mClient.send(
                server.server(),
                mServers.maximumConnections(server),
                path.get(),
                end -> ended(server, end));
    }

    private void ended(ServerLoad server, Either<ProbeResult, ProbeAnswer> end) {
        ProbeResult result =
                end.fold(
                        withoutAnswer -> withoutAnswer,
                        answer ->
                                mServers.applyAnswer(
                                        server,
                                        answer.status(),
                                        answer.headers(),
                                        answer.sentNanos()));
        mPlanner.ended(server, result, mTimeSource.monotonicNanos());
        mMetrics.countProbe(result);
        mUnlogged.merge(result, 1, Integer::sum);
    }

    /** Logs the number of probes with each result, at most once per period. */
    private void logResults() {
        long now = mTimeSource.monotonicNanos();
        if (mUnlogged.isEmpty() || now - mLoggedNanos < LOG_PERIOD_NANOS) {
            return;
        }
        sLogger.info("PROBE  Results of the last probes: {}.", mUnlogged);
        mUnlogged.clear();
        mLoggedNanos = now;
    }
}
