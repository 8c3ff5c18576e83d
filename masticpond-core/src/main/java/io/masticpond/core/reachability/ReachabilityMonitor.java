package io.masticpond.core.reachability;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Monitor that determines which services this instance reaches. A service is suspected if
 * connections to several of its servers fail or pending requests receive no answer; probes of some
 * servers then show whether it is unreachable, and later whether it is reachable again.
 *
 * <p>A server that is busy resets new connections while it still answers on older ones, as does a
 * network that lets no new connection through. The two are told apart by the other services: only
 * if the probes of no service are answered are services unreachable whose older connections work.
 *
 * <p>Not thread-safe: confined to one thread. Times are on the monotonic clock, in nanoseconds.
 *
 * @since 0.3
 */
public final class ReachabilityMonitor {

    /** Interval in which {@link #evaluate} is to be called. */
    public static final long EVALUATION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time between two evaluations that shows that this process itself did not run. */
    private static final long STANDSTILL_NANOS = 4 * EVALUATION_NANOS;

    /** Number of pending requests of all services whose silence raises a suspicion. */
    private static final int SILENT_REQUESTS = 3;

    private final Map<ServiceId, ServiceReachability> mServices = new HashMap<>();
    private ReachabilitySettings mSettings;
    private ReachabilityListener mListener = ReachabilityListener.NONE;
    private int mPending;
    private long mSilentSinceNanos;
    private long mEvaluatedNanos;
    private long mLosses;
    private long mSuspicions;

    /**
     * Creates a monitor for which all services are reachable.
     *
     * @param settings the settings
     */
    public ReachabilityMonitor(ReachabilitySettings settings) {
        mSettings = Assert.notNull(settings, "Settings of reachability");
    }

    /**
     * Replaces the settings.
     *
     * @param settings the settings
     */
    public void applySettings(ReachabilitySettings settings) {
        mSettings = Assert.notNull(settings, "Settings of reachability");
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public ReachabilitySettings settings() {
        return mSettings;
    }

    /**
     * Sets the listener.
     *
     * @param listener the listener
     */
    public void setListener(ReachabilityListener listener) {
        mListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Updates the services.
     *
     * @param services the services with registered servers
     * @param nowNanos the current time
     */
    public void update(Set<ServiceId> services, long nowNanos) {
        mServices
                .entrySet()
                .removeIf(
                        each ->
                                !services.contains(each.getKey())
                                        && each.getValue().pending() == 0);
        services.forEach(service -> of(service, nowNanos));
    }

    private ServiceReachability of(ServiceId service, long nowNanos) {
        return mServices.computeIfAbsent(
                service, id -> new ServiceReachability(id, nowNanos, this::onChanged));
    }

    /**
     * Records that a request is being sent to a server.
     *
     * @param service the service
     * @param nowNanos the current time
     */
    public void recordSent(ServiceId service, long nowNanos) {
        if (mPending == 0) {
            mSilentSinceNanos = nowNanos;
        }
        mPending++;
        of(service, nowNanos).sent(nowNanos);
    }

    /**
     * Records that a request that was sent has ended in any way.
     *
     * @param service the service
     * @param nowNanos the current time
     */
    public void recordEnded(ServiceId service, long nowNanos) {
        mPending--;
        of(service, nowNanos).ended();
    }

    /**
     * Records that the head of an answer arrived.
     *
     * @param service the service
     * @param answerNanos the time from the sending of the request to its answer
     * @param nowNanos the current time
     */
    public void recordAnswered(ServiceId service, long answerNanos, long nowNanos) {
        mSilentSinceNanos = nowNanos;
        of(service, nowNanos).answered(answerNanos, mSettings, nowNanos);
    }

    /**
     * Records that a connection to a server could not be opened or broke off without an answer.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the current time
     */
    public void recordFailed(ServiceId service, BackendServerId server, long nowNanos) {
        ServiceReachability state = of(service, nowNanos);
        if (state.failed(server, mSettings, nowNanos)) {
            state.suspect(ReachabilityEvidence.CONNECTIONS_FAILED, mSettings, nowNanos);
        }
    }

    /**
     * Records that a server reset an idle connection. If no connection of the service is left, all
     * were reset within a short time, which raises a suspicion without any failed request.
     *
     * @param service the service
     * @param server the server
     * @param isConnected whether a connection to any server of the service is still open
     * @param nowNanos the current time
     */
    public void recordIdleReset(
            ServiceId service, BackendServerId server, boolean isConnected, long nowNanos) {
        ServiceReachability state = of(service, nowNanos);
        if (state.failed(server, mSettings, nowNanos) && !isConnected) {
            state.suspect(ReachabilityEvidence.CONNECTIONS_RESET, mSettings, nowNanos);
        }
    }

    /**
     * Raises suspicions by the time that pending requests have been without an answer. To be called
     * once in {@link #EVALUATION_NANOS}.
     *
     * @param nowNanos the current time
     */
    public void evaluate(long nowNanos) {
        boolean stoodStill = nowNanos - mEvaluatedNanos > STANDSTILL_NANOS;
        mEvaluatedNanos = nowNanos;
        if (stoodStill) {
            mSilentSinceNanos = nowNanos;
            mServices.values().forEach(each -> each.restartSilence(nowNanos));
            return;
        }
        concludeInconclusive(nowNanos);
        if (mPending == 0) {
            return;
        }
        boolean isSilent =
                mPending >= SILENT_REQUESTS
                        && nowNanos - mSilentSinceNanos >= mSettings.silence().toNanos();
        for (ServiceReachability each : mServices.values()) {
            if (each.pending() > 0 && (isSilent || each.isSilent(mSettings, nowNanos))) {
                each.suspect(ReachabilityEvidence.NO_ANSWERS, mSettings, nowNanos);
            }
        }
    }

    /**
     * Determines whether any service is suspected, unreachable or only just reachable again.
     *
     * @param nowNanos the current time
     * @return whether requests may have to be forwarded
     */
    public boolean isAnyInDoubt(long nowNanos) {
        for (ServiceReachability each : mServices.values()) {
            if (each.state() != ReachabilityState.REACHABLE
                    || each.directShare(mSettings, nowNanos) < 1) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the services of which servers are to be probed now.
     *
     * @param nowNanos the current time
     * @return the services
     */
    public Collection<ServiceId> servicesToProbe(long nowNanos) {
        return mServices.entrySet().stream()
                .filter(each -> each.getValue().dueProbes(nowNanos) > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the number of servers of a service that are to be probed now.
     *
     * @param service the service
     * @param nowNanos the current time
     * @return the number of servers
     */
    public int dueProbes(ServiceId service, long nowNanos) {
        return of(service, nowNanos).dueProbes(nowNanos);
    }

    /**
     * Records that a probe is being sent on a new connection.
     *
     * @param service the service of the probed server
     * @param nowNanos the current time
     */
    public void probeStarted(ServiceId service, long nowNanos) {
        of(service, nowNanos).probeStarted(mSettings, nowNanos);
    }

    /**
     * Records that no further server of a service can be probed now.
     *
     * @param service the service
     * @param nowNanos the current time
     */
    public void endProbing(ServiceId service, long nowNanos) {
        of(service, nowNanos).endProbing(mSettings, nowNanos);
        concludeInconclusive(nowNanos);
    }

    /**
     * Records the end of a probe.
     *
     * @param service the service of the probed server
     * @param isAnswered whether any answer arrived
     * @param nowNanos the current time
     */
    public void probeEnded(ServiceId service, boolean isAnswered, long nowNanos) {
        ServiceReachability state = of(service, nowNanos);
        ReachabilityState former = state.state();
        state.probeEnded(isAnswered, mSettings, nowNanos);
        boolean isLost = state.state() == ReachabilityState.UNREACHABLE;
        if (state.isInconclusive() || (isLost && former != state.state())) {
            mServices
                    .values()
                    .forEach(
                            each ->
                                    each.suspect(
                                            ReachabilityEvidence.OTHER_SERVICE,
                                            mSettings,
                                            nowNanos));
        }
        concludeInconclusive(nowNanos);
    }

    private void concludeInconclusive(long nowNanos) {
        List<ServiceReachability> inconclusive =
                mServices.values().stream().filter(ServiceReachability::isInconclusive).toList();
        if (inconclusive.isEmpty()) {
            return;
        }
        boolean isAnyReachable =
                mServices.values().stream()
                        .anyMatch(each -> each.state() == ReachabilityState.REACHABLE);
        boolean isAnyPending =
                mServices.values().stream()
                        .anyMatch(
                                each ->
                                        each.state() == ReachabilityState.SUSPECTED
                                                && !each.isInconclusive());
        if (isAnyReachable) {
            inconclusive.forEach(
                    each -> each.refute(ReachabilityEvidence.OTHER_SERVICE, mSettings, nowNanos));
        } else if (!isAnyPending) {
            inconclusive.forEach(
                    each -> each.lose(ReachabilityEvidence.NEW_CONNECTIONS_FAILED, nowNanos));
        }
    }

    private void onChanged(ReachabilityView former, ReachabilityView current) {
        long formerNanos = current.sinceNanos() - former.sinceNanos();
        if (current.state() == ReachabilityState.SUSPECTED) {
            mSuspicions++;
        }
        if (current.state() == ReachabilityState.UNREACHABLE) {
            mLosses++;
        }
        if (former.state() == ReachabilityState.UNREACHABLE
                || current.state() == ReachabilityState.UNREACHABLE) {
            mListener.onChanged(current, formerNanos);
        } else {
            mListener.onSuspicionChanged(current, formerNanos);
        }
    }

    /**
     * Determines whether a request is to be sent to a server directly. While a service is
     * unreachable, or suspected as connections failed, none is. After it has become reachable
     * again, the share of such requests rises over the ramp.
     *
     * @param service the service
     * @param fraction a random number from 0 (inclusive) to 1 (exclusive)
     * @param nowNanos the current time
     * @return whether to send it directly
     */
    public boolean isDirect(ServiceId service, double fraction, long nowNanos) {
        ServiceReachability state = mServices.get(service);
        return state == null || fraction < state.directShare(mSettings, nowNanos);
    }

    /**
     * Determines whether a request that failed is to be sent to a server directly once more. While
     * a link fails at some servers and not at others, another instance is more likely to reach one.
     *
     * @param service the service
     * @param nowNanos the current time
     * @return whether no connections have raised a suspicion recently
     */
    public boolean isRepeatDirect(ServiceId service, long nowNanos) {
        ServiceReachability state = mServices.get(service);
        return state == null || !state.isSuspectedRecently(nowNanos);
    }

    /**
     * Returns the state of a service.
     *
     * @param service the service
     * @return the state
     */
    public ReachabilityState state(ServiceId service) {
        ServiceReachability state = mServices.get(service);
        return state == null ? ReachabilityState.REACHABLE : state.state();
    }

    /**
     * Returns the views of all services.
     *
     * @return the views
     */
    public List<ReachabilityView> views() {
        return mServices.values().stream().map(ServiceReachability::view).toList();
    }

    /**
     * Returns how often a service became unreachable.
     *
     * @return the count since the start of this instance
     */
    public long losses() {
        return mLosses;
    }

    /**
     * Returns how often a service was suspected to be unreachable.
     *
     * @return the count since the start of this instance
     */
    public long suspicions() {
        return mSuspicions;
    }
}
