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
 * Judges from this instance's own calls which backend servers of a service fail or are slow beside
 * their peers, though their health checks may be good.
 *
 * <p>The penalty is for the choice among servers; it never stops one by itself. At most half of the
 * servers of a service have one, the worst, since if most are bad then it is not they that stand
 * out. A condemned server gets a request from time to time, and its record fades, so it recovers. A
 * state machine for one thread.
 *
 * @since 0.2
 */
public final class CallOutlierDetector {

    /** Verdicts are as old as this at most. */
    private static final long VERDICT_NANOS = 100_000_000L;

    /** A mean over fewer answers says nothing. */
    private static final double LEAST_BELIEF = 0.1;

    private final CallOutlierDetectorSettings mSettings;
    private final Map<ServiceId, Peers> mServices = new HashMap<>();

    /**
     * Starts without any record.
     *
     * @param settings when a server stands out
     */
    public CallOutlierDetector(CallOutlierDetectorSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of a judge");
    }

    /**
     * Counts a request that is being sent.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the monotonic time
     */
    public void sent(ServiceId service, BackendServerId server, long nowNanos) {
        statistics(service, server, nowNanos).sent(nowNanos);
    }

    /**
     * Counts a good answer.
     *
     * @param service the service
     * @param server the server
     * @param latencyNanos how long it took
     * @param nowNanos the monotonic time
     */
    public void succeeded(
            ServiceId service, BackendServerId server, long latencyNanos, long nowNanos) {
        statistics(service, server, nowNanos).succeeded(latencyNanos, nowNanos);
    }

    /**
     * Counts a failure that speaks against the server, such as a broken connection, a wrong answer
     * or silence.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the monotonic time
     */
    public void failed(ServiceId service, BackendServerId server, long nowNanos) {
        statistics(service, server, nowNanos).failed(nowNanos);
    }

    /**
     * Tells how far a server should be avoided. Costs little, so it may be asked for each candidate
     * of each request.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the monotonic time
     * @return 0 for a server that is as good as its peers, or is due to be tried again, to 1
     */
    public double penalty(ServiceId service, BackendServerId server, long nowNanos) {
        Peers peers = mServices.get(service);
        CallStatistics tally = peers == null ? null : peers.mTallies.get(server);
        if (tally == null) {
            return 0;
        }
        if (nowNanos - peers.mJudgedNanos >= VERDICT_NANOS) {
            evaluate(peers, nowNanos);
        }
        boolean due = nowNanos - tally.lastSentNanos() >= mSettings.trialInterval().toNanos();
        return due ? 0 : tally.penalty();
    }

    /**
     * Forgets what one server did, since it is gone or has started again.
     *
     * @param service its service
     * @param server the server
     */
    public void forget(ServiceId service, BackendServerId server) {
        Peers peers = mServices.get(service);
        if (peers != null) {
            peers.mTallies.remove(server);
        }
    }

    /**
     * Forgets the servers that are gone.
     *
     * @param present the servers that are still there
     */
    public void retain(Set<BackendServerId> present) {
        mServices.values().forEach(each -> each.mTallies.keySet().retainAll(present));
        mServices.values().removeIf(each -> each.mTallies.isEmpty());
    }

    /**
     * Tells what is held against a server and on what, for people.
     *
     * @param service its service
     * @param server the server
     * @param nowNanos the monotonic time
     * @return the judgement, or empty if nothing was sent there
     */
    public Optional<ServerEvaluation> evaluation(
            ServiceId service, BackendServerId server, long nowNanos) {
        double penalty = penalty(service, server, nowNanos);
        Peers peers = mServices.get(service);
        CallStatistics tally = peers == null ? null : peers.mTallies.get(server);
        if (tally == null) {
            return Optional.empty();
        }
        double mean = tally.successes() > 0 ? tally.meanNanos() : 0;
        return Optional.of(
                new ServerEvaluation(penalty, tally.calls(), tally.failureShare(), (long) mean));
    }

    private CallStatistics statistics(ServiceId service, BackendServerId server, long nowNanos) {
        return mServices
                .computeIfAbsent(service, ignored -> new Peers(nowNanos - VERDICT_NANOS))
                .mTallies
                .computeIfAbsent(
                        server,
                        ignored -> new CallStatistics(mSettings.halfLife().toNanos(), nowNanos));
    }

    private void evaluate(Peers peers, long nowNanos) {
        peers.mJudgedNanos = nowNanos;
        Collection<CallStatistics> tallies = peers.mTallies.values();
        tallies.forEach(each -> each.decay(nowNanos));
        PeerMedians failures =
                new PeerMedians(tallies, CallStatistics::calls, CallStatistics::failureShare);
        PeerMedians means =
                new PeerMedians(tallies, CallStatistics::successes, CallStatistics::meanNanos);
        tallies.forEach(each -> each.setPenalty(penaltyOf(each, failures, means)));
        List<CallStatistics> worstFirst =
                tallies.stream()
                        .filter(each -> each.penalty() > 0)
                        .sorted(Comparator.comparingDouble(CallStatistics::penalty).reversed())
                        .toList();
        worstFirst.stream().skip(tallies.size() / 2).forEach(each -> each.setPenalty(0));
    }

    private double penaltyOf(CallStatistics tally, PeerMedians failures, PeerMedians means) {
        double failure = failurePenalty(tally, failures) * confidence(tally.calls());
        double slowness = slownessPenalty(tally, means) * confidence(tally.successes());
        return Math.max(failure, slowness);
    }

    private double failurePenalty(CallStatistics tally, PeerMedians failures) {
        if (tally.failureShare() <= mSettings.failureFrom()) {
            return 0;
        }
        double peers = failures.without(tally);
        double above = tally.failureShare() - (Double.isNaN(peers) ? 0 : peers);
        return part(above, mSettings.failureFrom(), mSettings.failureFull());
    }

    private double slownessPenalty(CallStatistics tally, PeerMedians means) {
        if (confidence(tally.successes()) < LEAST_BELIEF) {
            return 0;
        }
        double peers = means.without(tally);
        if (Double.isNaN(peers) || peers <= 0) {
            return 0;
        }
        double multiple = tally.meanNanos() / peers;
        return part(multiple, mSettings.slownessFrom(), mSettings.slownessFull());
    }

    private double confidence(double calls) {
        return Math.min(1, calls / mSettings.enoughCalls());
    }

    private static double part(double value, double from, double full) {
        return Math.min(1, Math.max(0, (value - from) / (full - from)));
    }

    /** The servers of one service. */
    private static final class Peers {

        private final Map<BackendServerId, CallStatistics> mTallies = new HashMap<>();
        private long mJudgedNanos;

        Peers(long judgedNanos) {
            mJudgedNanos = judgedNanos;
        }
    }
}
