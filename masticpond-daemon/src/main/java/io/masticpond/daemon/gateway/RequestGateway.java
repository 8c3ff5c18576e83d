package io.masticpond.daemon.gateway;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.daemon.caller.CallerService;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.operation.OnceOnlyKeys;
import io.masticpond.daemon.steering.PeerFallbackEntry;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Default implementation of {@link CallerService}, which connects the caller interface with the
 * rest of the daemon. Thread-safe.
 *
 * @since 0.1
 */
public final class RequestGateway implements CallerService {

    private final RequestIntake mIntake;
    private final EventLoop mSteering;
    private final ZoneId mZone;
    private final Supplier<Configuration> mConfiguration;
    private final LookupTable mLookups;
    private final PeerFallbackEntry mEntry;
    private final OnceOnlyGuard mGuard;
    private final LongConsumer mSeenVersion;

    /**
     * Creates a gateway.
     *
     * @param intake the intake of requests; once it is closed, this instance is not ready
     * @param steering the steering event loop
     * @param zone the availability zone of this instance
     * @param configuration the supplier of the configuration in force
     * @param lookups the table that answers look-ups
     * @param entry the entry side
     * @param guard the guard that lets once-only operations run at most once
     * @param seenVersion the consumer of configuration versions that callers have seen
     */
    public RequestGateway(
            RequestIntake intake,
            EventLoop steering,
            ZoneId zone,
            Supplier<Configuration> configuration,
            LookupTable lookups,
            PeerFallbackEntry entry,
            OnceOnlyGuard guard,
            LongConsumer seenVersion) {
        mIntake = intake;
        mSteering = steering;
        mZone = zone;
        mConfiguration = configuration;
        mLookups = lookups;
        mEntry = entry;
        mGuard = guard;
        mSeenVersion = seenVersion;
    }

    @Override
    public Configuration configuration() {
        return mConfiguration.get();
    }

    @Override
    public Optional<String> unreadyReason() {
        if (mIntake.isClosed()) {
            return Optional.of("This instance is stopping.");
        }
        Configuration configuration = mConfiguration.get();
        if (configuration.version().number() == 0) {
            return Optional.of("There is no configuration in force yet.");
        }
        if (configuration.regionOf(mZone).isEmpty()) {
            return Optional.of("The configuration has no availability zone " + mZone + ".");
        }
        return Optional.empty();
    }

    @Override
    public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
        if (seenVersion > mConfiguration.get().version().number()) {
            mSeenVersion.accept(seenVersion);
        }
        return mLookups.decide(clientAddress);
    }

    @Override
    public Optional<String> operationKey(ServiceId service) {
        return Optional.of(mGuard.issueKey().toString());
    }

    @Override
    public void submit(
            SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
        boolean accepted = mSteering.offer(() -> steer(request, keys, listener));
        if (!accepted) {
            listener.accept(
                    new RequestCompletion.Refused(
                            Refusal.didNotRun(
                                    RefusalCause.QUEUE_FULL,
                                    "The ring of the steering duty is full.")));
        }
    }

    @Override
    public void cancel(RequestId request) {
        mSteering.offer(
                () -> {
                    mGuard.cancel(request);
                    mEntry.cancel(request);
                });
    }

    private void steer(
            SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
        if (request.head().kind() != OperationKind.ONCE_ONLY) {
            mEntry.submit(request, listener);
            return;
        }
        mGuard.submit(
                request,
                new OnceOnlyKeys(
                        keys.operationKey(),
                        keys.idempotencyKey(),
                        request.head().service().value(),
                        keys.firstAttempt()),
                listener);
    }
}
