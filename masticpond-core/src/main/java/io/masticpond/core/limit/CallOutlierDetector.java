package io.masticpond.core.limit;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detector of backend servers that fail or are slow compared with the other servers of their
 * service, although their health checks may succeed. It evaluates this instance's own calls.
 *
 * <p>The penalty influences the choice among servers, but never excludes a server by itself. At
 * most half of the servers of a service have a penalty, the worst ones, since servers are no
 * outliers if most of them are bad. A penalized server gets a trial request from time to time, and
 * its statistics decay, so that it can recover. A state machine for use by a single thread.
 *
 * @since 0.2
 */
public final class CallOutlierDetector {

    /** Maximum age of an evaluation. */
    private static final long EVALUATION_VALIDITY_NANOS = 100_000_000L;

    /** Confidence below which a mean latency is not evaluated. */
    private static final double MIN_CONFIDENCE = 0.1;

    private final CallOutlierDetectorSettings mSettings;
    private final Map<ServiceId, Peers> mServices = new HashMap<>();

    /**
     * Creates a detector without statistics.
     *
     * @param settings the conditions for an outlier
     */
    public CallOutlierDetector(CallOutlierDetectorSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of an outlier detector");
    }

    /**
     * Records that a request is being sent.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void sent(ServiceId service, BackendServerId server, long nowNanos) {
        statistics(service, server, nowNanos).sent(nowNanos);
    }

    /**
     * Records a good answer.
     *
     * @param service the service
     * @param server the server
     * @param latencyNanos the time until the answer, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void succeeded(
            ServiceId service, BackendServerId server, long latencyNanos, long nowNanos) {
        statistics(service, server, nowNanos).succeeded(latencyNanos, nowNanos);
    }

    /**
     * Records a failure that is attributed to the server, such as a broken connection, an invalid
     * answer or no answer.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void failed(ServiceId service, BackendServerId server, long nowNanos) {
        statistics(service, server, nowNanos).failed(nowNanos);
    }

    /**
     * Returns how far a server should be avoided. Cheap enough to be called for each candidate of
     * each request.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the penalty from 0, for a server that is as good as its peers or due for a trial
     *     request, to 1
     */
    public double penalty(ServiceId service, BackendServerId server, long nowNanos) {
        Peers peers = mServices.get(service);
        CallStatistics statistics = peers == null ? null : peers.mStatistics.get(server);
        if (statistics == null) {
            return 0;
        }
        if (nowNanos - peers.mEvaluatedNanos >= EVALUATION_VALIDITY_NANOS) {
            evaluate(peers, nowNanos);
        }
        boolean due = nowNanos - statistics.lastSentNanos() >= mSettings.trialInterval().toNanos();
        return due ? 0 : statistics.penalty();
    }

    /**
     * Removes the statistics of one server, since it was removed or has restarted.
     *
     * @param service its service
     * @param server the server
     */
    public void remove(ServiceId service, BackendServerId server) {
        Peers peers = mServices.get(service);
        if (peers != null) {
            peers.mStatistics.remove(server);
        }
    }

    /**
     * Removes the statistics of all servers except the given ones.
     *
     * @param present the servers that are still registered
     */
    public void retain(Set<BackendServerId> present) {
        mServices.values().forEach(each -> each.mStatistics.keySet().retainAll(present));
        mServices.values().removeIf(each -> each.mStatistics.isEmpty());
    }

    /**
     * Returns the evaluation of a server, for display.
     *
     * @param service its service
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the evaluation, or empty if no request was sent there
     */
    public Optional<ServerEvaluation> evaluation(
            ServiceId service, BackendServerId server, long nowNanos) {
        double penalty = penalty(service, server, nowNanos);
        Peers peers = mServices.get(service);
        CallStatistics statistics = peers == null ? null : peers.mStatistics.get(server);
        if (statistics == null) {
            return Optional.empty();
        }
        double mean = statistics.successes() > 0 ? statistics.meanNanos() : 0;
        return Optional.of(
                new ServerEvaluation(
                        penalty, statistics.calls(), statistics.failureShare(), (long) mean));
    }

    private CallStatistics statistics(ServiceId service, BackendServerId server, long nowNanos) {
        return mServices
                .computeIfAbsent(
                        service, ignored -> new Peers(nowNanos - EVALUATION_VALIDITY_NANOS))
                .mStatistics
                .computeIfAbsent(
                        server,
                        ignored -> new CallStatistics(mSettings.halfLife().toNanos(), nowNanos));
    }

    private void evaluate(Peers peers, long nowNanos) {
        peers.mEvaluatedNanos = nowNanos;
        Collection<CallStatistics> all = peers.mStatistics.values();
        all.forEach(each -> each.decay(nowNanos));
        PeerMedians failures =
                new PeerMedians(all, CallStatistics::calls, CallStatistics::failureShare);
        PeerMedians means =
                new PeerMedians(all, CallStatistics::successes, CallStatistics::meanNanos);
        all.forEach(each -> each.setPenalty(penaltyOf(each, failures, means)));
        List<CallStatistics> worstFirst =
                all.stream()
                        .filter(each -> each.penalty() > 0)
                        .sorted(Comparator.comparingDouble(CallStatistics::penalty).reversed())
                        .toList();
        worstFirst.stream().skip(all.size() / 2).forEach(each -> each.setPenalty(0));
    }

    private double penaltyOf(CallStatistics statistics, PeerMedians failures, PeerMedians means) {
        double failure = failurePenalty(statistics, failures) * confidence(statistics.calls());
        double slowness = slownessPenalty(statistics, means) * confidence(statistics.successes());
        return Math.max(failure, slowness);
    }

    private double failurePenalty(CallStatistics statistics, PeerMedians failures) {
        if (statistics.failureShare() <= mSettings.failureThreshold()) {
            return 0;
        }
        double peers = failures.without(statistics);
        double above = statistics.failureShare() - (Double.isNaN(peers) ? 0 : peers);
        return part(above, mSettings.failureThreshold(), mSettings.fullPenaltyFailure());
    }

    private double slownessPenalty(CallStatistics statistics, PeerMedians means) {
        if (confidence(statistics.successes()) < MIN_CONFIDENCE) {
            return 0;
        }
        double peers = means.without(statistics);
        if (Double.isNaN(peers) || peers <= 0) {
            return 0;
        }
        double multiple = statistics.meanNanos() / peers;
        return part(multiple, mSettings.slownessThreshold(), mSettings.fullPenaltySlowness());
    }

    private double confidence(double calls) {
        return Math.min(1, calls / mSettings.fullConfidenceCalls());
    }

    private static double part(double value, double from, double full) {
        return Math.min(1, Math.max(0, (value - from) / (full - from)));
    }

    /** The servers of one service, with the time of their last evaluation. */
    private static final class Peers {

        private final Map<BackendServerId, CallStatistics> mStatistics = new HashMap<>();
        private long mEvaluatedNanos;

        Peers(long evaluatedNanos) {
            mEvaluatedNanos = evaluatedNanos;
        }
    }
}
